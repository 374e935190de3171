package io.cranberryarch.decision.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The state of one contender for one lease.
 *
 * <p>Times of different processes are never compared. The holder measures its lease from a time before it sent the
 * write. A contender acquires an expired lease only after it has observed the same version of the row for the whole
 * length and a margin, measured from a later time than the holder's, and its write requires that version. Two processes
 * therefore never hold the lease at the same time, even if processes are paused or messages are delayed or lost. Not
 * thread-safe.
 *
 * <pre>
 * lease.onRead(row, version, nowMs);
 * Optional&lt;LeaseWrite&gt; write = lease.nextWrite(nowMs);
 * // commit it, then report the outcome
 * lease.onWritten(write.get());
 * </pre>
 */
public final class Lease {

    /** The length of a lease after each write, in milliseconds. */
    public static final long LENGTH_MS = 600_000;
    /** The time between two reads of a row while another process holds the lease, in milliseconds. */
    public static final long READ_INTERVAL_MS = 10_000;

    private static final long EXPIRY_MARGIN_MS = 5_000;
    private static final long CLOCK_DRIFT_DIVISOR = 100;
    private static final int RENEWALS_PER_LENGTH = 4;
    private static final int MAX_TRACKED_ATTEMPTS = 16;

    private final String name;
    private final LeaseContender self;
    private final long lengthMs;
    private final Map<Long, Long> sentAtByAttempt = new LinkedHashMap<>();
    private Optional<LeaseRecord> record = Optional.empty();
    private Optional<HeldLease> held = Optional.empty();
    private long version;
    private long versionSeenSinceMs;
    private long readAtMs;
    private long attempts;
    private boolean isRead;
    private boolean isReleasing;

    /**
     * Creates the state of a contender that has not yet read the row.
     *
     * @param name the name of the lease, not {@code null}
     * @param self this process, not {@code null}
     * @param lengthMs the length of the lease after each write, in milliseconds
     * @param firstAttempt a number greater than that of any write of an earlier {@code Lease} in the same process
     */
    public Lease(String name, LeaseContender self, long lengthMs, long firstAttempt) {
        this.name = name;
        this.self = self;
        this.lengthMs = lengthMs;
        this.attempts = firstAttempt;
    }

    /**
     * Checks whether the row must be read before the next write.
     *
     * @param nowMs monotonic time in milliseconds
     * @return whether a read is due
     */
    public boolean isReadDue(long nowMs) {
        if (!isRead) {
            return true;
        }
        return find(nowMs).isEmpty() && nowMs - readAtMs >= READ_INTERVAL_MS;
    }

    /**
     * Records the content of the row after a read.
     *
     * @param row the content, or empty if the row does not exist
     * @param rowVersion its version, 0 if it does not exist
     * @param nowMs monotonic time after the read in milliseconds
     */
    public void onRead(Optional<LeaseRecord> row, long rowVersion, long nowMs) {
        if (!isRead || rowVersion != version) {
            versionSeenSinceMs = nowMs;
        }
        isRead = true;
        readAtMs = nowMs;
        version = rowVersion;
        record = row;
        if (row.isPresent() && isOwn(row.get())) {
            updateHeld(row.get());
        } else {
            held = Optional.empty();
        }
    }

    /**
     * Returns the next write to commit.
     *
     * @param nowMs monotonic time in milliseconds
     * @return the write, or empty if none is due
     */
    public Optional<LeaseWrite> nextWrite(long nowMs) {
        if (!isRead) {
            return Optional.empty();
        }
        if (isReleasing) {
            return isOwnAndUnreleased() ? Optional.of(toWrite(nowMs, toReleased())) : Optional.empty();
        }
        if (isOwnAndUnreleased() && find(nowMs).isPresent()) {
            return isRenewalDue(nowMs) ? Optional.of(toWrite(nowMs, toRenewed())) : Optional.empty();
        }
        return toOrigin(nowMs).map(origin -> toWrite(nowMs, toAcquired(origin)));
    }

    /**
     * Records that a write was committed.
     *
     * @param write the write, not {@code null}
     */
    public void onWritten(LeaseWrite write) {
        version = write.requiredVersion() + 1;
        record = Optional.of(write.record());
        versionSeenSinceMs = write.sentAtMs();
        readAtMs = write.sentAtMs();
        updateHeld(write.record());
    }

    /** Records that a write was refused or not answered, so that the row must be read again. */
    public void onWriteFailed() {
        isRead = false;
    }

    /** Stops using the lease immediately. The write that releases it is returned by {@link #nextWrite}. */
    public void release() {
        isReleasing = true;
        held = Optional.empty();
    }

    /**
     * Checks whether a release is complete.
     *
     * @return whether the lease is being released, and its row names another process or is marked as released
     */
    public boolean isReleased() {
        return isReleasing && isRead && !isOwnAndUnreleased();
    }

    /**
     * Returns the lease if this process holds it.
     *
     * @param nowMs monotonic time in milliseconds
     * @return the lease, or empty if it is not held or has ended
     */
    public Optional<HeldLease> find(long nowMs) {
        return held.filter(lease -> nowMs < lease.endsAtMs());
    }

    /**
     * Returns the holder that the row named when it was last read or written.
     *
     * @return the holder, or empty if there is none
     */
    public Optional<LeaseHolder> findHolder() {
        return record.filter(row -> !row.isReleased()).map(LeaseRecord::toHolder);
    }

    private Optional<LeaseOrigin> toOrigin(long nowMs) {
        if (record.isEmpty()) {
            return Optional.of(LeaseOrigin.FIRST);
        }
        LeaseRecord row = record.get();
        if (row.isReleased()) {
            return Optional.of(LeaseOrigin.RELEASED);
        }
        if (row.address().equals(self.address()) && row.incarnation() < self.incarnation()) {
            return Optional.of(LeaseOrigin.REPLACED);
        }
        long waitMs = row.lengthMs() + row.lengthMs() / CLOCK_DRIFT_DIVISOR + EXPIRY_MARGIN_MS;
        return nowMs - versionSeenSinceMs >= waitMs ? Optional.of(LeaseOrigin.EXPIRED) : Optional.empty();
    }

    private void updateHeld(LeaseRecord row) {
        Long sentAtMs = sentAtByAttempt.get(row.attempt());
        if (row.isReleased() || isReleasing || sentAtMs == null) {
            held = Optional.empty();
            return;
        }
        boolean isSame = held.isPresent() && held.get().epoch() == row.epoch();
        long acquiredAtMs = isSame ? held.get().acquiredAtMs() : sentAtMs;
        held = Optional.of(new HeldLease(name, row.epoch(), acquiredAtMs, sentAtMs + row.lengthMs(), row.origin()));
    }

    private boolean isRenewalDue(long nowMs) {
        long endsAtMs = held.map(HeldLease::endsAtMs).orElse(nowMs);
        return nowMs >= endsAtMs - lengthMs + lengthMs / RENEWALS_PER_LENGTH;
    }

    private boolean isOwnAndUnreleased() {
        return record.isPresent() && isOwn(record.get()) && !record.get().isReleased();
    }

    private boolean isOwn(LeaseRecord row) {
        return row.instance().equals(self.instance()) && row.incarnation() == self.incarnation();
    }

    private LeaseWrite toWrite(long nowMs, LeaseRecord content) {
        sentAtByAttempt.put(content.attempt(), nowMs);
        if (sentAtByAttempt.size() > MAX_TRACKED_ATTEMPTS) {
            sentAtByAttempt.remove(sentAtByAttempt.keySet().iterator().next());
        }
        return new LeaseWrite(name, version, content, nowMs);
    }

    private LeaseRecord toAcquired(LeaseOrigin origin) {
        long epoch = record.map(LeaseRecord::epoch).orElse(0L) + 1;
        return toRecord(epoch, origin, false);
    }

    private LeaseRecord toRenewed() {
        return toRecord(record.orElseThrow().epoch(), record.orElseThrow().origin(), false);
    }

    private LeaseRecord toReleased() {
        return toRecord(record.orElseThrow().epoch(), record.orElseThrow().origin(), true);
    }

    private LeaseRecord toRecord(long epoch, LeaseOrigin origin, boolean released) {
        attempts++;
        return new LeaseRecord(
                self.instance(), self.incarnation(), self.address(), epoch, attempts, lengthMs, origin, released);
    }
}
