package io.cranberryarch.wire;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Reports the status of a node and its upstream, at regular intervals and on each change. The first report on a
 * connection is complete; later reports omit values that did not change.
 *
 * @param upstream the upstream, or empty if it is the same as in the last report that named one
 * @param isAccepting whether the upstream accepts new requests
 * @param isPermanentShutdown whether the node and its upstream are shutting down permanently
 * @param limit the number of requests that the upstream runs concurrently at full load
 * @param inFlight the number of requests that run or wait at the upstream
 * @param upstreamFailureRatio the ratio of requests that fail at the upstream itself, from 0 to 1
 * @param remainingColdStartMs the remaining time of the cold start, during which the upstream is slow, in milliseconds
 * @param rulesVersion the version of the rules that the node applies, -1 if it has none
 * @param workDemand the work that new requests at the node require, in slots by rank and service
 * @param isComplete whether the report lists all demand and all client accounts in use, not only changes
 * @param accounts the usage of rates by the node's callers, by client account
 */
public record PeerStatusMessage(
        Optional<Upstream> upstream,
        boolean isAccepting,
        boolean isPermanentShutdown,
        double limit,
        int inFlight,
        double upstreamFailureRatio,
        long remainingColdStartMs,
        long rulesVersion,
        Map<String, Double> workDemand,
        boolean isComplete,
        Map<String, AccountUsage> accounts)
        implements Message {

    static PeerStatusMessage read(MessageUnpacker in) throws IOException {
        return new PeerStatusMessage(
                in.tryUnpackNil() ? Optional.empty() : Optional.of(Upstream.read(in)),
                in.unpackBoolean(),
                in.unpackBoolean(),
                in.unpackFloat(),
                in.unpackInt(),
                in.unpackFloat(),
                in.unpackLong(),
                in.unpackLong(),
                FieldCodec.readAmounts(in),
                in.unpackBoolean(),
                readAccounts(in));
    }

    @Override
    public MessageType getType() {
        return MessageType.PEER_STATUS;
    }

    @Override
    public void write(MessagePacker out) throws IOException {
        if (upstream.isPresent()) {
            upstream.get().write(out);
        } else {
            out.packNil();
        }
        out.packBoolean(isAccepting);
        out.packBoolean(isPermanentShutdown);
        out.packFloat((float) limit);
        out.packInt(inFlight);
        out.packFloat((float) upstreamFailureRatio);
        out.packLong(remainingColdStartMs);
        out.packLong(rulesVersion);
        FieldCodec.writeAmounts(out, workDemand);
        out.packBoolean(isComplete);
        out.packArrayHeader(accounts.size());
        for (Map.Entry<String, AccountUsage> account : accounts.entrySet()) {
            out.packString(account.getKey());
            account.getValue().write(out);
        }
    }

    private static Map<String, AccountUsage> readAccounts(MessageUnpacker in) throws IOException {
        int count = FieldCodec.readCount(in);
        Map<String, AccountUsage> accounts = new HashMap<>();
        for (int i = 0; i < count; i++) {
            accounts.put(in.unpackString(), AccountUsage.read(in));
        }
        return accounts;
    }

    /**
     * The upstream on a node's machine.
     *
     * @param instance the identifier of its incarnation, empty if the node has received none
     * @param startedAtMs the start of its incarnation, in milliseconds since 1970, 0 if unknown
     * @param service the name of its service
     * @param isLeaving whether it has announced that it leaves
     * @param ratePerS the rate limit that it has named, in requests a second, {@link #NO_RATE_LIMIT} if it names none,
     *     or empty if it has not responded to the node yet
     */
    public record Upstream(
            String instance, long startedAtMs, String service, boolean isLeaving, Optional<Double> ratePerS) {

        /** The rate limit of an upstream that names none. */
        public static final double NO_RATE_LIMIT = Double.POSITIVE_INFINITY;

        /** Stands for the upstream of a node that has received no report of it. */
        public static final Upstream UNKNOWN = new Upstream("", 0, "", false, Optional.empty());

        /**
         * Finds the rate limit that the upstream has named.
         *
         * @return the limit in requests a second, or empty if it names none or has not responded yet
         */
        public Optional<Double> findRateLimitPerS() {
            return ratePerS.filter(Double::isFinite);
        }

        static Upstream read(MessageUnpacker in) throws IOException {
            return new Upstream(
                    in.unpackString(),
                    in.unpackLong(),
                    in.unpackString(),
                    in.unpackBoolean(),
                    in.tryUnpackNil() ? Optional.empty() : Optional.of(in.unpackDouble()));
        }

        void write(MessagePacker out) throws IOException {
            out.packString(instance);
            out.packLong(startedAtMs);
            out.packString(service);
            out.packBoolean(isLeaving);
            if (ratePerS.isPresent()) {
                out.packDouble(ratePerS.get());
            } else {
                out.packNil();
            }
        }
    }
}
