package io.cranberryarch.node.lease;

import io.cranberryarch.base.Clock;
import io.cranberryarch.decision.lease.HeldLease;
import io.cranberryarch.decision.lease.Lease;
import io.cranberryarch.decision.lease.LeaseContender;
import io.cranberryarch.decision.lease.LeaseHolder;
import io.cranberryarch.decision.lease.LeaseRecord;
import io.cranberryarch.decision.lease.LeaseWrite;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.Row;
import io.cranberryarch.store.TableStore;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Acquires, renews and releases the leases for which components of this node contend.
 *
 * <p>Requests to the platform run on a separate executor; {@link #find} never waits for the platform. Thread-safe.
 *
 * <pre>
 * leases.contendFor("rate/zone-a/3");
 * Optional&lt;HeldLease&gt; lease = leases.find("rate/zone-a/3");
 * </pre>
 */
public final class LeaseService {

    private static final long ATTEMPT_NUMBERS_PER_LEASE = 1L << 32;
    private static final long TICK_INTERVAL_MS = 500;

    private final LeaseTable table;
    private final LeaseContender self;
    private final Clock clock;
    private final long lengthMs;
    private final AtomicLong nextAttemptNumber = new AtomicLong();
    private final Map<String, Lease> leases = new ConcurrentHashMap<>();

    /**
     * Creates the service.
     *
     * @param table the platform's table
     * @param self the identity of this process as a contender
     * @param clock the clock
     * @param lengthMs the duration of a lease after each write, in milliseconds
     */
    public LeaseService(TableStore table, LeaseContender self, Clock clock, long lengthMs) {
        this.table = new LeaseTable(table);
        this.self = self;
        this.clock = clock;
        this.lengthMs = lengthMs;
    }

    /**
     * Starts the requests to the platform.
     *
     * @param blocking the executor of the requests, which may block
     */
    public void start(ScheduledExecutorService blocking) {
        blocking.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts to contend for a lease. Has no effect while the lease is being released; call it again after the release.
     *
     * @param name the name of the lease
     */
    public void contendFor(String name) {
        contendFor(name, lengthMs);
    }

    /**
     * Starts to contend for a lease with a specific duration. Has no effect while the lease is being released; call it
     * again after the release.
     *
     * @param name the name of the lease
     * @param specificLengthMs the duration of the lease after each write, in milliseconds
     */
    public void contendFor(String name, long specificLengthMs) {
        leases.computeIfAbsent(
                name,
                key -> new Lease(key, self, specificLengthMs, nextAttemptNumber.getAndAdd(ATTEMPT_NUMBERS_PER_LEASE)));
    }

    /**
     * Stops using a lease immediately, and releases it in the platform as soon as the platform is reachable.
     *
     * @param name the name of the lease
     */
    public void release(String name) {
        Lease lease = leases.get(name);
        if (lease != null) {
            synchronized (lease) {
                lease.release();
            }
        }
    }

    /** Releases all leases, with one attempt to write the releases to the platform. Blocks. */
    public void releaseAll() {
        for (String name : List.copyOf(leases.keySet())) {
            release(name);
        }
        tick();
    }

    /**
     * Gets a lease if this node currently holds it.
     *
     * @param name the name of the lease
     * @return the lease, or empty if this node does not hold it
     */
    public Optional<HeldLease> find(String name) {
        Lease lease = leases.get(name);
        if (lease == null) {
            return Optional.empty();
        }
        synchronized (lease) {
            return lease.find(clock.monotonicMs());
        }
    }

    /**
     * Gets the holder last read from the platform, if this node contends for the lease.
     *
     * @param name the name of the lease
     * @return the holder, or empty if unknown
     */
    public Optional<LeaseHolder> findHolder(String name) {
        Lease lease = leases.get(name);
        if (lease == null) {
            return Optional.empty();
        }
        synchronized (lease) {
            return lease.findHolder();
        }
    }

    /** Runs the reads and writes that are due. Blocks. */
    void tick() {
        for (Map.Entry<String, Lease> entry : leases.entrySet()) {
            try {
                readAndWrite(entry.getKey(), entry.getValue());
            } catch (PlatformException e) {
                Logger.debug("lease-unanswered lease={} reason=\"{}\"", entry.getKey(), e.getMessage());
                return;
            } catch (RuntimeException e) {
                Logger.error(e, "lease-failed lease={}", entry.getKey());
            }
        }
    }

    private void readAndWrite(String name, Lease lease) throws PlatformException {
        if (isReadDue(lease)) {
            Optional<Row> row = table.read(name);
            Optional<LeaseRecord> content =
                    row.isPresent() ? Optional.of(LeaseTable.toRecord(row.get())) : Optional.empty();
            synchronized (lease) {
                lease.onRead(content, row.map(Row::version).orElse(0L), clock.monotonicMs());
            }
        }
        Optional<LeaseWrite> write = decide(lease);
        if (write.isPresent()) {
            commitWrite(lease, write.get());
        }
        if (isReleased(lease)) {
            leases.remove(name);
        }
    }

    private void commitWrite(Lease lease, LeaseWrite write) throws PlatformException {
        boolean written = false;
        try {
            written = table.write(write);
        } finally {
            synchronized (lease) {
                if (written) {
                    lease.onWritten(write);
                } else {
                    lease.onWriteFailed();
                }
            }
        }
        Logger.debug(
                "lease-write lease={} epoch={} written={}",
                write.name(),
                write.record().epoch(),
                written);
    }

    private boolean isReadDue(Lease lease) {
        synchronized (lease) {
            return lease.isReadDue(clock.monotonicMs());
        }
    }

    private Optional<LeaseWrite> decide(Lease lease) {
        synchronized (lease) {
            return lease.nextWrite(clock.monotonicMs());
        }
    }

    private boolean isReleased(Lease lease) {
        synchronized (lease) {
            return lease.isReleased();
        }
    }
}
