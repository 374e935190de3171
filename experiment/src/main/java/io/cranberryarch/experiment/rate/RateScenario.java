package io.cranberryarch.experiment.rate;

import java.util.Random;

/** The distribution of the calls of a client account over the nodes, and the failures during a simulation. */
public enum RateScenario {
    /** Calls arrive evenly at all nodes. */
    EVEN,
    /** All calls arrive at one node. */
    ONE_INSTANCE {
        @Override
        int pickNode(Random random, long nowMs, RateTopology topology) {
            return topology.size() - 1;
        }
    },
    /** Calls arrive in one zone at a time, which changes periodically. */
    WANDERING {
        @Override
        int pickNode(Random random, long nowMs, RateTopology topology) {
            int zone = (int) (nowMs / ZONE_CHANGE_INTERVAL_MS % topology.zones().size());
            return zone * topology.nodesPerZone() + random.nextInt(topology.nodesPerZone());
        }
    },
    /** One node is killed and later replaced. It may be an allocator of the account. */
    NODE_KILLED {
        @Override
        boolean isNodeDown(int node, long nowMs) {
            return isKilled(node, nowMs);
        }
    },
    /** The node with the account's allocator in the first zone is killed and later replaced. */
    ALLOCATOR_KILLED {
        @Override
        boolean isNodeDown(int node, long nowMs) {
            return isKilled(node, nowMs);
        }

        @Override
        int toAllocatorIndex(long seed, int nodesPerZone) {
            return 0;
        }
    },
    /** The first zone is cut off from all others. */
    ZONE_CUT {
        @Override
        boolean isPartitioned(int zone, int otherZone, long nowMs) {
            return zone != otherZone && (zone == 0 || otherZone == 0) && nowMs >= FAILURE_START_MS;
        }
    };

    private static final long FAILURE_START_MS = 20_000;
    private static final long REPLACEMENT_DELAY_MS = 30_000;
    private static final long ZONE_CHANGE_INTERVAL_MS = 10_000;

    int pickNode(Random random, long nowMs, RateTopology topology) {
        return random.nextInt(topology.size());
    }

    boolean isNodeDown(int node, long nowMs) {
        return false;
    }

    boolean isPartitioned(int zone, int otherZone, long nowMs) {
        return false;
    }

    /** Returns the index, within each zone, of the node that holds the allocator of the account. */
    int toAllocatorIndex(long seed, int nodesPerZone) {
        return (int) Math.floorMod(seed, (long) nodesPerZone);
    }

    private static boolean isKilled(int node, long nowMs) {
        return node == 0 && nowMs >= FAILURE_START_MS && nowMs < FAILURE_START_MS + REPLACEMENT_DELAY_MS;
    }
}
