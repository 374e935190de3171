package io.cranberryarch.decision.membership;

/**
 * A node with its upstream.
 *
 * @param instance the name of the instance
 * @param incarnation the incarnation of the process, greater after each start
 * @param sequence grows with each change that the member makes to its own record
 * @param state its state
 * @param zone the availability zone
 * @param service the service of its upstream
 * @param host the address
 * @param peerPort the port for other nodes
 * @param slots requests that the upstream runs at once at most
 */
public record Member(
        String instance,
        long incarnation,
        long sequence,
        MemberState state,
        String zone,
        String service,
        String host,
        int peerPort,
        int slots) {

    /**
     * Checks whether this record replaces another one of the same instance.
     *
     * @param other the other record, not {@code null}
     * @return whether this one is newer
     */
    public boolean isNewerThan(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }

    /**
     * Copies this record with a new state and the next sequence number.
     *
     * @param newState the state
     * @return the copy
     */
    public Member toState(MemberState newState) {
        return new Member(instance, incarnation, sequence + 1, newState, zone, service, host, peerPort, slots);
    }
}
