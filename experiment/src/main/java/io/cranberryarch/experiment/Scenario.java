package io.cranberryarch.experiment;

import java.util.ArrayList;
import java.util.List;

/**
 * The configuration of one simulation.
 *
 * @param services the services; callers call the first one
 * @param accounts the client accounts
 * @param prioritized whether requests have different priorities
 * @param load the rate of first attempts as a multiple of the capacity
 * @param event a temporary change of load or service times
 * @param seed the seed of the random numbers
 */
record Scenario(
        List<ServiceSpec> services,
        List<AccountSpec> accounts,
        boolean prioritized,
        double load,
        Event event,
        long seed) {

    /** The time at which measuring starts, in milliseconds. */
    static final long WARM_UP_MS = 5_000;
    /** The time at which the event starts, in milliseconds. */
    static final long EVENT_START_MS = 10_000;
    /** The time at which the event ends, in milliseconds. */
    static final long EVENT_END_MS = 15_000;
    /** The time at which the simulation ends, in milliseconds. */
    static final long END_MS = 30_000;

    private static final int CHAIN_DEPTH = 10;
    private static final int INSTANCES = 2;
    private static final int WORKERS = 8;
    private static final int SLOTS = 170;
    private static final long WORK_MICROS = 10_000;
    private static final long DEEP_WORK_MICROS = 40_000;

    /**
     * A change between {@link #EVENT_START_MS} and {@link #EVENT_END_MS}.
     *
     * @param loadFactor the factor of the load
     * @param slowService the index of the service that slows down
     * @param slowdownFactor the factor of the service time of its calls
     */
    record Event(double loadFactor, int slowService, double slowdownFactor) {

        static final Event NONE = new Event(1, 0, 1);
    }

    Scenario {
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
    }

    /** Returns a chain of ten services of which the last one has the least capacity. */
    static List<ServiceSpec> chainServices() {
        List<ServiceSpec> services = new ArrayList<>();
        for (int i = 0; i < CHAIN_DEPTH; i++) {
            boolean isLast = i == CHAIN_DEPTH - 1;
            List<Integer> children = isLast ? List.of() : List.of(i + 1);
            long micros = isLast ? DEEP_WORK_MICROS : WORK_MICROS;
            services.add(new ServiceSpec("s" + i, INSTANCES, WORKERS, SLOTS, micros, children));
        }
        return services;
    }

    /** Returns a tree of three levels whose leaves are called sequentially. */
    static List<ServiceSpec> treeServices() {
        return List.of(
                new ServiceSpec("orders", INSTANCES, WORKERS, SLOTS, WORK_MICROS, List.of(1, 2)),
                new ServiceSpec("designs", INSTANCES, WORKERS, SLOTS, WORK_MICROS, List.of(3)),
                new ServiceSpec("payments", INSTANCES, WORKERS, SLOTS, WORK_MICROS, List.of(3)),
                new ServiceSpec("workshop", INSTANCES, WORKERS, 30, DEEP_WORK_MICROS / 2, List.of()));
    }

    /** Returns eight client accounts, a few of them large, each with a demand in proportion to its weight. */
    static List<AccountSpec> defaultAccounts() {
        List<AccountSpec> accounts = new ArrayList<>();
        double[] weights = {10, 6, 4, 1, 1, 1, 1, 1};
        for (int i = 0; i < weights.length; i++) {
            accounts.add(new AccountSpec("account" + i, weights[i], weights[i]));
        }
        return accounts;
    }

    /** Returns the same client accounts, one of which sends ten times its share. */
    static List<AccountSpec> accountsWithOneOverRate(int index) {
        List<AccountSpec> accounts = defaultAccounts();
        AccountSpec account = accounts.get(index);
        accounts.set(index, new AccountSpec(account.name(), account.weight(), 10 * account.demand()));
        return accounts;
    }

    /** Returns the number of requests per second that the services can complete. */
    double toCapacity() {
        double[] callsPerRequest = new double[services.size()];
        countCalls(callsPerRequest, 0);
        double capacity = Double.POSITIVE_INFINITY;
        for (int i = 0; i < callsPerRequest.length; i++) {
            if (callsPerRequest[i] > 0) {
                capacity = Math.min(capacity, services.get(i).toCapacity() / callsPerRequest[i]);
            }
        }
        return capacity;
    }

    /** Returns the rate of first attempts of a client account at the given time, per second. */
    double toRate(AccountSpec account, long nowMs) {
        double weights =
                defaultAccounts().stream().mapToDouble(AccountSpec::weight).sum();
        double factor = isDuringEvent(nowMs) ? event.loadFactor() : 1;
        return toCapacity() * load * factor * account.demand() / weights;
    }

    /** Returns the factor of the service time of a service at the given time. */
    double toSlowdownFactor(int service, long nowMs) {
        return service == event.slowService() && isDuringEvent(nowMs) ? event.slowdownFactor() : 1;
    }

    private static boolean isDuringEvent(long nowMs) {
        return nowMs >= EVENT_START_MS && nowMs < EVENT_END_MS;
    }

    private void countCalls(double[] callsPerRequest, int service) {
        callsPerRequest[service]++;
        for (int child : services.get(service).children()) {
            countCalls(callsPerRequest, child);
        }
    }
}
