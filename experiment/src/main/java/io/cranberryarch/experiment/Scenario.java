package io.cranberryarch.experiment;

import java.util.ArrayList;
import java.util.List;

/**
 * What happens in one run.
 *
 * @param services the services; callers call the first one
 * @param accounts the client accounts
 * @param prioritized whether requests have different priorities
 * @param load first attempts as a multiple of the capacity
 * @param event what happens for a while
 * @param seed the seed of the random numbers
 */
record Scenario(
        List<ServiceSpec> services,
        List<AccountSpec> accounts,
        boolean prioritized,
        double load,
        Event event,
        long seed) {

    /** When measuring starts. */
    static final long WARM_UP_MS = 5_000;
    /** When an event starts. */
    static final long EVENT_START_MS = 10_000;
    /** When an event ends. */
    static final long EVENT_END_MS = 15_000;
    /** When a run ends. */
    static final long END_MS = 30_000;

    private static final int CHAIN_DEPTH = 10;
    private static final int INSTANCES = 2;
    private static final int WORKERS = 8;
    private static final int SLOTS = 170;
    private static final long WORK_MICROS = 10_000;
    private static final long DEEP_WORK_MICROS = 40_000;

    /**
     * What happens between the start and the end of an event.
     *
     * @param loadFactor the factor of the load
     * @param slowService the index of the service that slows
     * @param slowFactor the factor of its work
     */
    record Event(double loadFactor, int slowService, double slowFactor) {

        static final Event NONE = new Event(1, 0, 1);
    }

    Scenario {
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
    }

    /** A chain of ten services of which the last one has the least capacity. */
    static List<ServiceSpec> toChain() {
        List<ServiceSpec> services = new ArrayList<>();
        for (int i = 0; i < CHAIN_DEPTH; i++) {
            boolean isLast = i == CHAIN_DEPTH - 1;
            List<Integer> children = isLast ? List.of() : List.of(i + 1);
            long micros = isLast ? DEEP_WORK_MICROS : WORK_MICROS;
            services.add(new ServiceSpec("s" + i, INSTANCES, WORKERS, SLOTS, micros, children));
        }
        return services;
    }

    /** A tree of three levels whose leaves are called one after the other. */
    static List<ServiceSpec> toTree() {
        return List.of(
                new ServiceSpec("orders", INSTANCES, WORKERS, SLOTS, WORK_MICROS, List.of(1, 2)),
                new ServiceSpec("designs", INSTANCES, WORKERS, SLOTS, WORK_MICROS, List.of(3)),
                new ServiceSpec("payments", INSTANCES, WORKERS, SLOTS, WORK_MICROS, List.of(3)),
                new ServiceSpec("workshop", INSTANCES, WORKERS, 30, DEEP_WORK_MICROS / 2, List.of()));
    }

    /** Eight client accounts, a few of them large, each within its share. */
    static List<AccountSpec> toAccounts() {
        List<AccountSpec> accounts = new ArrayList<>();
        double[] weights = {10, 6, 4, 1, 1, 1, 1, 1};
        for (int i = 0; i < weights.length; i++) {
            accounts.add(new AccountSpec("account" + i, weights[i], weights[i]));
        }
        return accounts;
    }

    /** The same client accounts, one of which sends ten times its share. */
    static List<AccountSpec> toAccountsWithOneOver(int index) {
        List<AccountSpec> accounts = toAccounts();
        AccountSpec account = accounts.get(index);
        accounts.set(index, new AccountSpec(account.name(), account.weight(), 10 * account.demand()));
        return accounts;
    }

    /** The whole requests a second that the services can finish. */
    double toCapacity() {
        double[] calls = new double[services.size()];
        addCalls(calls, 0);
        double capacity = Double.POSITIVE_INFINITY;
        for (int i = 0; i < calls.length; i++) {
            if (calls[i] > 0) {
                capacity = Math.min(capacity, services.get(i).toCapacity() / calls[i]);
            }
        }
        return capacity;
    }

    /** First attempts a second of one client account at a time. */
    double toRate(AccountSpec account, long nowMs) {
        double weights = toAccounts().stream().mapToDouble(AccountSpec::weight).sum();
        double factor = isInEvent(nowMs) ? event.loadFactor() : 1;
        return toCapacity() * load * factor * account.demand() / weights;
    }

    /** The factor of the work of a service at a time. */
    double toSlowFactor(int service, long nowMs) {
        return service == event.slowService() && isInEvent(nowMs) ? event.slowFactor() : 1;
    }

    private static boolean isInEvent(long nowMs) {
        return nowMs >= EVENT_START_MS && nowMs < EVENT_END_MS;
    }

    private void addCalls(double[] calls, int service) {
        calls[service]++;
        for (int child : services.get(service).children()) {
            addCalls(calls, child);
        }
    }
}
