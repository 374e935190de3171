package io.cranberryarch.experiment;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A discrete-event simulation with a seeded source of random numbers. Not thread-safe.
 *
 * <pre>
 * Simulation simulation = new Simulation(1);
 * simulation.after(1_500, () -&gt; arrive());
 * simulation.run(10_000_000);
 * </pre>
 */
public final class Simulation {

    private static final long MICROS_PER_MS = 1_000;

    private record Event(long atMicros, long order, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final SplittableRandom random;
    private long nowMicros;
    private long nextOrder;

    /**
     * Creates a simulation at time 0.
     *
     * @param seed the seed of the random numbers
     */
    public Simulation(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /**
     * Schedules an action; actions at the same time run in the order in which they were scheduled.
     *
     * @param delayMicros the delay in microseconds, below 0 for none
     * @param action the action, not {@code null}
     */
    public void after(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + Math.max(0, delayMicros), nextOrder++, action));
    }

    /**
     * Runs the scheduled actions up to a time.
     *
     * @param untilMicros the time in microseconds, inclusive
     */
    public void run(long untilMicros) {
        while (!events.isEmpty() && events.peek().atMicros <= untilMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros;
            event.action.run();
        }
    }

    long nowMicros() {
        return nowMicros;
    }

    /**
     * Returns the simulated time.
     *
     * @return the time in milliseconds, rounded down
     */
    public long nowMs() {
        return nowMicros / MICROS_PER_MS;
    }

    /**
     * Returns the source of random numbers.
     *
     * @return the source, seeded at creation
     */
    public SplittableRandom random() {
        return random;
    }

    /** Returns the next random number of an exponential distribution with the given mean. */
    long nextExponential(double meanMicros) {
        return Math.round(-meanMicros * Math.log(1 - random.nextDouble()));
    }
}
