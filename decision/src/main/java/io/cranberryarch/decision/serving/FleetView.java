package io.cranberryarch.decision.serving;

import java.util.Map;
import java.util.function.Consumer;

/** The instances and nodes of a fleet as known to one node. */
public interface FleetView {

    /**
     * Passes the load of each instance of a service that can run requests now.
     *
     * @param service the name of the service
     * @param consumer receives each load, not {@code null}
     */
    void forEachInstance(String service, Consumer<InstanceLoad> consumer);

    /**
     * Passes the work that new requests at each other connected node require.
     *
     * @param consumer receives the slots by {@code RANK@SERVICE}, as reported by {@link WorkDemand#report}
     */
    void forEachPeerDemand(Consumer<Map<String, Double>> consumer);
}
