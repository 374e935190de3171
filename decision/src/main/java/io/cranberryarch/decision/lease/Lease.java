package io.cranberryarch.decision.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One contender's view of one lease.
 *
 * <p>Times of different processes are never compared. The holder counts its lease from the moment before it sent the
 * write. A contender takes over only after it has seen the same version of the row for the whole length and a margin,
 * counted from a later moment than the holder's, and its write requires that version. So two processes never hold the
 * lease at the same time, whatever is paused, delayed or lost. Not thread-safe.
 *
 * <pre>
 * lease.onRead(row, version, nowMs);
 * Optional&lt;LeaseWrite&gt; write = lease.nextWrite(nowMs);
 * // commit it, then tell the outcome
 * lease.onWritten(write.get());
 * </pre>
 */
public final class Lease {

    /** How long a lease runs after each write, in milliseconds. */
    public static final long LENGTH_MS = 600_000;
    /** The time between two reads of a row that somebody else holds, in milliseconds. */
    public static final long READ_INTERVAL_MS = 10_000;

    private static final long MARGIN_MS = 5_000;
    private static final long DRIFT_DIVISOR = 100;
    private static final int RENEWALS_PER_LENGTH = 4;
    private static final int MAX_ATTEMPTS_KEPT = 16;

    private final String name;
    private final LeaseContender self;
    private final long lengthMs;
    private final Map<Long, Long> sentAtByAttempt = new LinkedHashMap<>();
    private Optional<LeaseRecord> record = Optional.empty();
    private Optional<HeldLease> held = Optional.empty();
    private long version;
    private long seenSinceMs;
    private long readAtMs;
    private long attempts;
    private boolean isRead;
    private boolean isReleasing;

    /**
     * Creates a view that has not yet read the row.
     *
     * @param name the lease
     * @param self this process
     * @param lengthMs how long the lease runs after each write, in milliseconds
     * @param firstAttempt greater than the number of any write of an earlier view of the same process
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
     * Takes note of the row.
     *
     * @param row the content, or empty if the row does not exist
     * @param rowVersion its version, 0 if it does not exist
     * @param nowMs monotonic time after the read in milliseconds
     */
    public void onRead(Optional<LeaseRecord> row, long rowVersion, long nowMs) {
        if (!isRead || rowVersion != version) {
            seenSinceMs = nowMs;
        }
        isRead = true;
        readAtMs = nowMs;
        version = rowVersion;
        record = row;
        if (row.isPresent() && isOwn(row.get())) {
            resume(row.get());
        } else {
            held = Optional.empty();
        }
    }

    /**
     * Decides on the next write.
     *
     * @param nowMs monotonic time in milliseconds
     * @return the write, or empty if none is due
     */
    public Optional<LeaseWrite> nextWrite(long nowMs) {
        if (!isRead) {
            return Optional.empty();
        }
        if (isReleasing) {
            return isOwnAndOpen() ? Optional.of(toWrite(nowMs, toReleased())) : Optional.empty();
        }
        if (isOwnAndOpen() && find(nowMs).isPresent()) {
            return isRenewalDue(nowMs) ? Optional.of(toWrite(nowMs, toRenewed())) : Optional.empty();
        }
        return toOrigin(nowMs).map(origin -> toWrite(nowMs, toAcquired(origin)));
    }

    /**
     * Takes note that a write took effect.
     *
     * @param write the write
     */
    public void onWritten(LeaseWrite write) {
        version = write.requiredVersion() + 1;
        record = Optional.of(write.record());
        seenSinceMs = write.sentAtMs();
        readAtMs = write.sentAtMs();
        resume(write.record());
    }

    /** Takes note that a write was refused or got no answer: the row must be read again. */
    public void onWriteFailed() {
        isRead = false;
    }

    /** Stops using the lease at once; {@link #nextWrite} tells how to give it up. */
    public void release() {
        isReleasing = true;
        held = Optional.empty();
    }

    /**
     * Checks whether nothing is left to do after a release.
     *
     * @return whether the row names somebody else, or says that the lease was given up
     */
    public boolean isReleased() {
        return isReleasing && isRead && !isOwnAndOpen();
    }

    /**
     * Gets the lease if this process holds it.
     *
     * @param nowMs monotonic time in milliseconds
     * @return the lease, or empty if it is not held or has ended
     */
    public Optional<HeldLease> find(long nowMs) {
        return held.filter(lease -> nowMs < lease.endsAtMs());
    }

    /**
     * Gets the holder that the row named last.
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
        long waitMs = row.lengthMs() + row.lengthMs() / DRIFT_DIVISOR + MARGIN_MS;
        return nowMs - seenSinceMs >= waitMs ? Optional.of(LeaseOrigin.EXPIRED) : Optional.empty();
    }

    private void resume(LeaseRecord row) {
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

    private boolean isOwnAndOpen() {
        return record.isPresent() && isOwn(record.get()) && !record.get().isReleased();
    }

    private boolean isOwn(LeaseRecord row) {
        return row.instance().equals(self.instance()) && row.incarnation() == self.incarnation();
    }

    private LeaseWrite toWrite(long nowMs, LeaseRecord content) {
        sentAtByAttempt.put(content.attempt(), nowMs);
        if (sentAtByAttempt.size() > MAX_ATTEMPTS_KEPT) {
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
