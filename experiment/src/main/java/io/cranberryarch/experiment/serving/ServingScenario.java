package io.cranberryarch.experiment.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A fleet, its load and its faults.
 *
 * @param name the name of the scenario
 * @param fleet the zones, delays and bounds
 * @param services the services, by name
 * @param requests the kinds of request, by name
 * @param faults the faults
 */
record ServingScenario(
        String name,
        FleetSpec fleet,
        Map<String, ServiceSpec> services,
        Map<String, RequestSpec> requests,
        List<FaultSpec> faults) {

    ServingScenario {
        services = new TreeMap<>(services);
        requests = new TreeMap<>(requests);
        faults = List.copyOf(faults);
    }

    /** Returns the ranks of the requests that callers send, the most important first. */
    List<Integer> toRanks() {
        return requests.values().stream()
                .filter(RequestSpec::isSentByCallers)
                .map(RequestSpec::rank)
                .distinct()
                .sorted()
                .toList();
    }

    /** Returns the kinds of request that callers send. */
    List<RequestSpec> toCallerRequests() {
        List<RequestSpec> sent = new ArrayList<>();
        for (RequestSpec request : requests.values()) {
            if (request.isSentByCallers()) {
                sent.add(request);
            }
        }
        return sent;
    }

    /**
     * The zones, delays and bounds of a fleet.
     *
     * @param zones the number of availability zones
     * @param zoneDelayMs the one-way delay between availability zones
     * @param callerDelayMs the one-way delay between a caller and a node
     * @param lengthMs the simulated time
     * @param statusIntervalMs the interval at which nodes report their load and demand to each other
     * @param repeatRatio the allowed repeats of a service per first send
     * @param repeatSlack the allowed repeats of a service beyond the ratio, within ten seconds
     */
    record FleetSpec(
            int zones,
            double zoneDelayMs,
            double callerDelayMs,
            long lengthMs,
            long statusIntervalMs,
            double repeatRatio,
            double repeatSlack) {}

    /**
     * A service.
     *
     * @param name its name
     * @param instances the number of instances, distributed evenly over the availability zones
     * @param slots the number of requests that an instance runs concurrently
     * @param speeds the speeds of the instances, repeated in order
     */
    record ServiceSpec(String name, int instances, int slots, List<Double> speeds) {}

    /**
     * A kind of request.
     *
     * @param name its name, which is also that of its route
     * @param service the service that runs it
     * @param perS the number of requests that callers send per second, 0 if only upstreams send it
     * @param rank its importance, 0 for the most important
     * @param isIdempotent whether it may run more than once
     * @param workMs the mean work at an instance of speed 1, without nested calls
     * @param objectiveMs the time within which an answer has its full worth
     * @param timeoutMs the time after which an answer has no worth
     * @param worth the worth of an answer within the objective
     * @param lateWorth the ratio of the worth that a later answer has
     * @param retries how often its callers send it again
     * @param attemptLimit the number of instances that may run it
     * @param calls the nested calls, made in turn after the work
     */
    record RequestSpec(
            String name,
            String service,
            double perS,
            int rank,
            boolean isIdempotent,
            double workMs,
            long objectiveMs,
            long timeoutMs,
            double worth,
            double lateWorth,
            int retries,
            int attemptLimit,
            List<CallSpec> calls) {

        boolean isSentByCallers() {
            return perS > 0;
        }
    }

    /**
     * Nested calls of one kind.
     *
     * @param request the kind of request
     * @param times the number of calls
     */
    record CallSpec(String request, int times) {}

    /**
     * A fault.
     *
     * @param kind what happens
     * @param atMs when it starts
     * @param forMs how long it lasts
     * @param service the affected service, or empty for all requests of callers
     * @param share the share of the instances or callers that are affected, from 0 to 1
     * @param strength the factor or probability of the fault, see {@link FaultKind}
     */
    record FaultSpec(FaultKind kind, long atMs, long forMs, String service, double share, double strength) {

        boolean isActive(long nowMs) {
            return nowMs >= atMs && nowMs < atMs + forMs;
        }
    }
}
