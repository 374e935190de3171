package io.cranberryarch.experiment;

import java.util.List;

/**
 * A service of the model.
 *
 * @param name the name
 * @param instances the number of its instances
 * @param workers the number of calls that an instance processes concurrently; further calls queue in it
 * @param slots the maximum number of concurrent calls that an instance announces
 * @param workMicros the mean service time of a call without its nested calls, in microseconds
 * @param children the indexes of the services that each call calls sequentially
 */
record ServiceSpec(String name, int instances, int workers, int slots, long workMicros, List<Integer> children) {

    private static final double MICROS_PER_SECOND = 1_000_000;

    ServiceSpec {
        children = List.copyOf(children);
    }

    double toCapacity() {
        return instances * workers * MICROS_PER_SECOND / workMicros;
    }
}
