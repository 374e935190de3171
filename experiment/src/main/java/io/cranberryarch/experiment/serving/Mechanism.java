package io.cranberryarch.experiment.serving;

import java.util.Locale;

/** The mechanisms of the serving decisions that the model can switch off one by one. */
enum Mechanism {

    /** Refusing new call trees by the demand that all nodes report. */
    DEMAND_SHEDDING,

    /** Refusing new call trees by the load of the services that they use. */
    LOAD_SHEDDING,

    /** Preferring callers that return after the Retry-After time of an earlier refusal. */
    RETURNING_FIRST,

    /** Ordering waiting requests by rank. */
    RANK_QUEUE,

    /** Sending requests again after a failed send. */
    REPEATS,

    /** Not repeating a run whose nested call was failed by its service. */
    FINAL_CALL_FAILURES,

    /** Reserving repeats for the later nested calls of a run. */
    PROGRESS_RESERVE,

    /** Reserving repeats for the more important ranks. */
    RANK_RESERVE,

    /** Sending a second attempt when an answer is overdue. */
    HEDGING,

    /** Preferring instances of the local availability zone. */
    ZONE_PREFERENCE,

    /** Reducing the capacity and raising the cost of instances that fail by themselves. */
    FAILURE_RATIO;

    /** Returns the name as written on the command line. */
    String toText() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
