package io.cranberryarch.decision.membership;

/**
 * A node with its upstream.
 *
 * @param instance the name of the instance
 * @param incarnation the incarnation of the process, greater after each start
 * @param sequence a number that increases with each change that the member makes to its own record
 * @param state its state
 * @param zone the availability zone
 * @param service the service of its upstream
 * @param host the address
 * @param peerPort the port for other nodes
 * @param slots the maximum number of requests that the upstream runs concurrently
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
     * @param newState the state, not {@code null}
     * @return the copy
     */
    public Member toState(MemberState newState) {
        return new Member(instance, incarnation, sequence + 1, newState, zone, service, host, peerPort, slots);
    }

    /**
     * Copies this record with a state observed by another member. The member itself refutes the state by a record with
     * its next sequence number.
     *
     * @param observed {@link MemberState#SUSPECT} or {@link MemberState#GONE}, not {@code null}
     * @return the copy, newer than this record
     */
    public Member toObservedState(MemberState observed) {
        return new Member(instance, incarnation, sequence, observed, zone, service, host, peerPort, slots);
    }

    /**
     * Copies this record with a number of slots and the next sequence number.
     *
     * @param newSlots the maximum number of requests that the upstream runs concurrently
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
