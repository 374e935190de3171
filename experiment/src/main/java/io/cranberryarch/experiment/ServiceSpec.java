package io.cranberryarch.experiment;

import java.util.List;

/**
 * A service of the model.
 *
 * @param name the name
 * @param instances the number of instances
 * @param workers the calls that an instance works on at once; more wait inside it
 * @param slots the calls that an instance holds at once, as it claims
 * @param workMicros the mean time of a call without its nested calls, in microseconds
 * @param children the indexes of the services that each call calls, one after the other
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
