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
        if (sequence != other.sequence) {
            return sequence > other.sequence;
        }
        return state.compareTo(other.state) > 0;
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

    /**
     * Copies this record as another member judges it; the member itself contradicts with its next sequence number.
     *
     * @param judged {@link MemberState#SUSPECT} or {@link MemberState#GONE}
     * @return the copy, newer than this record
     */
    public Member toObservedState(MemberState judged) {
        return new Member(instance, incarnation, sequence, judged, zone, service, host, peerPort, slots);
    }

    /**
     * Copies this record with a number of slots and the next sequence number.
     *
     * @param newSlots requests that the upstream runs at once at most
     * @return the copy
     */
    public Member toSlots(int newSlots) {
        return new Member(instance, incarnation, sequence + 1, state, zone, service, host, peerPort, newSlots);
    }

    /**
     * Copies this record with a sequence number above another one.
     *
     * @param other the sequence number to exceed
     * @return the copy
     */
    Member toSequenceAbove(long other) {
        long next = Math.max(sequence, other) + 1;
        return new Member(instance, incarnation, next, state, zone, service, host, peerPort, slots);
    }
}
