package io.cranberryarch.experiment.rate;

import io.cranberryarch.decision.rate.RateShare;
import java.util.ArrayList;
import java.util.List;

/**
 * The zones and nodes of the model.
 *
 * @param zones the names of the zones
 * @param nodesPerZone the number of nodes in each zone
 * @param firstZoneRatio the ratio of each rate and burst allotted to the first zone, 0 for equal parts
 */
public record RateTopology(List<String> zones, int nodesPerZone, double firstZoneRatio) {

    /** Copies the list. */
    public RateTopology {
        zones = List.copyOf(zones);
    }

    /**
     * Creates a topology.
     *
     * @param zoneCount the number of zones, at least 2
     * @param nodesPerZone the number of nodes in each zone, at least 1
     * @param firstZoneRatio the ratio allotted to the first zone, 0 for equal parts
     * @return the topology
     */
    public static RateTopology of(int zoneCount, int nodesPerZone, double firstZoneRatio) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < zoneCount; i++) {
            names.add("zone-" + i);
        }
        return new RateTopology(names, nodesPerZone, firstZoneRatio);
    }

    /**
     * Counts the nodes.
     *
     * @return the number of nodes in all zones
     */
    public int size() {
        return zones.size() * nodesPerZone;
    }

    /**
     * Returns the zone of a node.
     *
     * @param node the index of the node
     * @return the index of the zone
     */
    public int toZone(int node) {
        return node / nodesPerZone;
    }

    /**
     * Computes the share of a rate that a zone grants.
     *
     * @param load the client account, not {@code null}
     * @param zone the index of the zone
     * @return the share
     */
    public RateShare toShare(RateLoad load, int zone) {
        if (firstZoneRatio == 0) {
            return RateShare.of(load.name(), load.ratePerSecond(), load.burst(), zones, zones.get(zone));
        }
        double ratio = zone == 0 ? firstZoneRatio : (1 - firstZoneRatio) / (zones.size() - 1);
        return new RateShare(load.ratePerSecond() * ratio, (long) Math.floor(load.burst() * ratio));
    }
}
