package io.cranberryarch.wire;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * What a node says of its upstream and of itself, at regular intervals and at each change. The first on a connection
 * is complete; later ones leave out what did not change.
 *
 * @param upstream the upstream, or empty if it is the one that the sender named last
 * @param isAccepting whether it takes new requests
 * @param isPermanentShutdown whether the node is about to end for good, with its upstream
 * @param limit requests that it runs at once at most
 * @param inFlight requests that run or wait there
 * @param upstreamFailureRatio the share of requests that the upstream fails by itself, from 0 to 1
 * @param coldLeftMs how long it stays slow after its start, in milliseconds
 * @param rulesVersion the version of the rules that the node follows, -1 if it knows none
 * @param workDemand work that new requests at the node ask of services, in slots by rank and service
 * @param isComplete whether all demand and all client accounts in use are named; otherwise only what changed
 * @param accounts what callers of the node use of the rates, by client account
 */
public record PeerStatusMessage(
        Optional<Upstream> upstream,
        boolean isAccepting,
        boolean isPermanentShutdown,
        int limit,
        int inFlight,
        double upstreamFailureRatio,
        long coldLeftMs,
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
                Fields.readAmounts(in),
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
        out.packLong(coldLeftMs);
        out.packLong(rulesVersion);
        Fields.writeAmounts(out, workDemand);
        out.packBoolean(isComplete);
        out.packArrayHeader(accounts.size());
        for (Map.Entry<String, AccountUsage> account : accounts.entrySet()) {
            out.packString(account.getKey());
            account.getValue().write(out);
        }
    }

    private static Map<String, AccountUsage> readAccounts(MessageUnpacker in) throws IOException {
        int count = Fields.readCount(in);
        Map<String, AccountUsage> accounts = new HashMap<>();
        for (int i = 0; i < count; i++) {
            accounts.put(in.unpackString(), AccountUsage.read(in));
        }
        return accounts;
    }

    /**
     * The upstream beside a node.
     *
     * @param instance the identifier of its incarnation, empty if the node knows none
     * @param service its service
     */
    public record Upstream(String instance, String service) {

        static Upstream read(MessageUnpacker in) throws IOException {
            return new Upstream(in.unpackString(), in.unpackString());
        }
    }
}
