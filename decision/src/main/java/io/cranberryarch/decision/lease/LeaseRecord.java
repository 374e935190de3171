package io.cranberryarch.decision.lease;

/**
 * The content of a lease's row.
 *
 * @param instance the instance that holds the lease
 * @param incarnation the incarnation of its process
 * @param address the address that its process has bound, which no other process can have bound at the same time
 * @param epoch the epoch, incremented by one with each change of holders
 * @param attempt the number of the holder's write, which identifies a write whose answer was lost
 * @param lengthMs the length of the lease after each write, in milliseconds
 * @param origin how the holder obtained the lease
 * @param isReleased whether the holder has released the lease
 */
public record LeaseRecord(
        String instance,
        long incarnation,
        String address,
        long epoch,
        long attempt,
        long lengthMs,
        LeaseOrigin origin,
        boolean isReleased) {

    /**
     * Returns the holder that the record names.
     *
     * @return the holder
     */
    public LeaseHolder toHolder() {
        return new LeaseHolder(instance, incarnation, epoch);
    }
}
