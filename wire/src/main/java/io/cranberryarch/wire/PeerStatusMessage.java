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
 * @param limit the maximum number of requests that the upstream runs concurrently
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
        int limit,
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
                in.unpackInt(),
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
            out.packString(upstream.get().instance());
            out.packString(upstream.get().service());
        } else {
            out.packNil();
        }
        out.packBoolean(isAccepting);
        out.packBoolean(isPermanentShutdown);
        out.packInt(limit);
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
     * @param service the name of its service
     */
    public record Upstream(String instance, String service) {

        static Upstream read(MessageUnpacker in) throws IOException {
            return new Upstream(in.unpackString(), in.unpackString());
        }
    }
}
