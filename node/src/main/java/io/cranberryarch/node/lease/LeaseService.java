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
 * Acquires, renews and releases the leases that parts of this node want.
 *
 * <p>The platform is asked on a thread of its own; {@link #find} never waits. Thread-safe.
 *
 * <pre>
 * leases.contendFor("rate/zone-a/3");
 * Optional&lt;HeldLease&gt; lease = leases.find("rate/zone-a/3");
 * </pre>
 */
public final class LeaseService {

    private static final long ATTEMPTS_PER_VIEW = 1L << 32;
    private static final long TICK_MS = 500;

    private final LeaseTable table;
    private final LeaseContender self;
    private final Clock clock;
    private final long lengthMs;
    private final AtomicLong nextAttempts = new AtomicLong();
    private final Map<String, Lease> leases = new ConcurrentHashMap<>();

    /**
     * Creates the service.
     *
     * @param table the platform's table
     * @param self this process
     * @param clock the clock
     * @param lengthMs how long a lease runs after each write, in milliseconds
     */
    public LeaseService(TableStore table, LeaseContender self, Clock clock, long lengthMs) {
        this.table = new LeaseTable(table);
        this.self = self;
        this.clock = clock;
        this.lengthMs = lengthMs;
    }

    /**
     * Starts to ask the platform.
     *
     * @param blocking runs the requests, may block
     */
    public void start(ScheduledExecutorService blocking) {
        blocking.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Contends for a lease from now on. A lease that is being released is wanted again only after its release.
     *
     * @param name the lease
     */
    public void contendFor(String name) {
        contendFor(name, lengthMs);
    }

    /**
     * Contends for a lease with a length of its own from now on. A lease that is being released is wanted again only
     * after its release.
     *
     * @param name the lease
     * @param ownLengthMs how long it runs after each write, in milliseconds
     */
    public void contendFor(String name, long ownLengthMs) {
        leases.computeIfAbsent(
                name, key -> new Lease(key, self, ownLengthMs, nextAttempts.getAndAdd(ATTEMPTS_PER_VIEW)));
    }

    /**
     * Stops using a lease at once, and gives it up in the platform as soon as it answers.
     *
     * @param name the lease
     */
    public void release(String name) {
        Lease lease = leases.get(name);
        if (lease != null) {
            synchronized (lease) {
                lease.release();
            }
        }
    }

    /** Releases all leases and waits for the platform once. Blocks. */
    public void releaseAll() {
        for (String name : List.copyOf(leases.keySet())) {
            release(name);
        }
        tick();
    }

    /**
     * Gets a lease if this node holds it now.
     *
     * @param name the lease
     * @return the lease, or empty
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
     * Gets the holder that the platform named last, if this node contends for the lease.
     *
     * @param name the lease
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

    /** Reads and writes what is due. Blocks. */
    void tick() {
        for (Map.Entry<String, Lease> entry : leases.entrySet()) {
            try {
                advance(entry.getKey(), entry.getValue());
            } catch (PlatformException e) {
                Logger.debug("lease-unanswered lease={} reason=\"{}\"", entry.getKey(), e.getMessage());
                return;
            } catch (RuntimeException e) {
                Logger.error(e, "lease-failed lease={}", entry.getKey());
            }
        }
    }

    private void advance(String name, Lease lease) throws PlatformException {
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
            commit(lease, write.get());
        }
        if (isReleased(lease)) {
            leases.remove(name);
        }
    }

    private void commit(Lease lease, LeaseWrite write) throws PlatformException {
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
