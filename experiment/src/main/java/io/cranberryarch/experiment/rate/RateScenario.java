package io.cranberryarch.experiment.rate;

import java.util.Random;

/** Where the calls of an account arrive, and what fails meanwhile. */
public enum RateScenario {
    /** Calls arrive at all nodes alike. */
    EVEN,
    /** All calls arrive at one node. */
    ONE_INSTANCE {
        @Override
        int pickNode(Random random, long nowMs, RateTopology topology) {
            return topology.size() - 1;
        }
    },
    /** Calls arrive in one zone at a time, which changes. */
    WANDERING {
        @Override
        int pickNode(Random random, long nowMs, RateTopology topology) {
            int zone = (int) (nowMs / STAY_MS % topology.zones().size());
            return zone * topology.nodesPerZone() + random.nextInt(topology.nodesPerZone());
        }
    },
    /** One node is killed, and replaced after a while. It may be an allocator of the account. */
    NODE_KILLED {
        @Override
        boolean isNodeDown(int node, long nowMs) {
            return isKilled(node, nowMs);
        }
    },
    /** The node with the account's allocator in the first zone is killed, and replaced after a while. */
    ALLOCATOR_KILLED {
        @Override
        boolean isNodeDown(int node, long nowMs) {
            return isKilled(node, nowMs);
        }

        @Override
        int toHost(long seed, int nodesPerZone) {
            return 0;
        }
    },
    /** The first zone is cut off from all others. */
    ZONE_CUT {
        @Override
        boolean isCut(int zone, int otherZone, long nowMs) {
            return zone != otherZone && (zone == 0 || otherZone == 0) && nowMs >= FAIL_AT_MS;
        }
    };

    private static final long FAIL_AT_MS = 20_000;
    private static final long REPLACE_AFTER_MS = 30_000;
    private static final long STAY_MS = 10_000;

    int pickNode(Random random, long nowMs, RateTopology topology) {
        return random.nextInt(topology.size());
    }

    boolean isNodeDown(int node, long nowMs) {
        return false;
    }

    boolean isCut(int zone, int otherZone, long nowMs) {
        return false;
    }

    /** Chooses the node of each zone that is the allocator of the account. */
    int toHost(long seed, int nodesPerZone) {
        return (int) Math.floorMod(seed, (long) nodesPerZone);
    }

    private static boolean isKilled(int node, long nowMs) {
        return node == 0 && nowMs >= FAIL_AT_MS && nowMs < FAIL_AT_MS + REPLACE_AFTER_MS;
    }
}
