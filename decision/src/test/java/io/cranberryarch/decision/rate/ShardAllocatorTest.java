package io.cranberryarch.decision.rate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ShardAllocatorTest {

    private static final String ACCOUNT = "acme";
    private static final int STEP_COUNT = 600;

    @Property(tries = 1_500, seed = "1")
    void noWindowAdmitsMoreThanRateAndBurst(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 4) int zones,
            @ForAll @IntRange(min = 1, max = 4) int nodes) {
        Simulation simulation = new Simulation(new Random(seed), zones, nodes);
        for (int step = 0; step < STEP_COUNT; step++) {
            simulation.step();
        }
        simulation.assertAdmissionsBounded();
    }

    @Property(tries = 300, seed = "2")
    void sharesAddUpToRateAndWholeBurst(
            @ForAll String account,
            @ForAll @DoubleRange(min = 0, max = 1e6) double rate,
            @ForAll @DoubleRange(min = 1, max = 1e6) double burst,
            @ForAll @IntRange(min = 1, max = 20) int zoneCount) {
        List<String> zones = toNames(zoneCount);
        double rates = 0;
        long bursts = 0;
        for (String zone : zones) {
            RateShare share = RateShare.of(account, rate, burst, zones, zone);
            rates += share.ratePerSecond();
            bursts += share.burst();
            assertTrue(
                    burst < zoneCount || share.burst() >= 1,
                    "each zone has at least one token if the burst has as many tokens as there are zones");
        }
        assertEquals(rate, rates, rate * 1e-9);
        assertEquals((long) burst, bursts);
    }

    @Test
    void bucketFillsAtTheNewRateFromTheChangeOn() {
        ShardAllocator allocator = new ShardAllocator(1, false, 0);
        RateShare fast = new RateShare(100, 100);
        RateShare slow = new RateShare(1, 100);
        assertEquals(100_000, allocator.handle(toRequest(200_000), fast, 10_000).tokens());
        allocator.configure(account -> slow, 10_000);
        assertEquals(9_500, allocator.handle(toRequest(200_000), slow, 20_500).tokens());
    }

    private static TokenRequest toRequest(long needed) {
        return new TokenRequest("zone-0", ACCOUNT, 1, needed, needed, 1, List.of());
    }

    private static List<String> toNames(int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("zone-" + i);
        }
        return names;
    }

    /** A message in transit: a request, or the answer to one. */
    private record Message(int node, int incarnation, TokenRequest request, TokenAnswer answer) {}

    /** A share that came into force at an allocator. */
    private record ShareChange(long atMs, RateShare share) {}

    /** Holders, allocators and a network that loses, duplicates, delays and reorders messages. */
    private static final class Simulation {

        private final Random random;
        private final List<String> zones;
        private final ShardAllocator[] allocators;
        private final TokenHolder[] holders;
        private final int[] incarnations;
        private final List<List<ShareChange>> changes = new ArrayList<>();
        private final List<Message> network = new ArrayList<>();
        private final List<Long> admitted = new ArrayList<>();
        private double rate;
        private double burst;
        private long nextEpoch = 1;
        private long nowMs = 10_000;

        Simulation(Random random, int zoneCount, int nodeCount) {
            this.random = random;
            this.zones = toNames(zoneCount);
            this.allocators = new ShardAllocator[zoneCount];
            this.holders = new TokenHolder[nodeCount];
            this.incarnations = new int[nodeCount];
            changeRate();
            for (int i = 0; i < zoneCount; i++) {
                changes.add(new ArrayList<>());
                replaceAllocator(i);
                applyRate(i);
            }
            for (int i = 0; i < nodeCount; i++) {
                replaceHolder(i);
            }
        }

        void step() {
            int node = random.nextInt(holders.length);
            int zone = random.nextInt(allocators.length);
            int choice = random.nextInt(1_000);
            if (choice < 350) {
                call(node);
            } else if (choice < 650) {
                deliver();
            } else if (choice < 700) {
                send(node, holders[node].settle(nowMs));
            } else if (choice < 990) {
                nowMs += random.nextInt(8) == 0 ? random.nextInt(900) : random.nextInt(20);
            } else if (choice < 993) {
                nowMs += random.nextInt(5_000);
            } else if (choice < 995) {
                replaceAllocator(zone);
            } else if (choice < 996) {
                replaceHolder(node);
            } else if (choice < 997) {
                changeRate();
            } else {
                applyRate(zone);
                nowMs += random.nextBoolean() ? random.nextInt(4_000) : 0;
            }
        }

        private void call(int node) {
            int calls = 1 + random.nextInt(5);
            for (int i = 0; i < calls; i++) {
                holders[node].onCall(nowMs);
                if (holders[node].trySpend(nowMs)) {
                    admitted.add(nowMs);
                }
            }
            send(node, holders[node].request(random.nextInt(20), nowMs));
        }

        private void send(int node, List<TokenRequest> requests) {
            for (TokenRequest request : requests) {
                network.add(new Message(node, incarnations[node], request, null));
            }
        }

        /** Delivers, loses or duplicates one message in transit. */
        private void deliver() {
            if (network.isEmpty()) {
                return;
            }
            int index = random.nextInt(3) == 0 ? random.nextInt(network.size()) : network.size() - 1;
            int choice = random.nextInt(20);
            Message message = choice < 3 ? network.get(index) : network.remove(index);
            if (choice == 19) {
                return;
            }
            int zone = zones.indexOf(message.request().zone());
            if (message.answer() == null) {
                List<ShareChange> shareChanges = changes.get(zone);
                RateShare share = shareChanges.get(shareChanges.size() - 1).share();
                TokenAnswer answer = allocators[zone].handle(message.request(), share, nowMs);
                network.add(new Message(message.node(), message.incarnation(), message.request(), answer));
            } else {
                holders[message.node()].onAnswer(message.request().zone(), message.answer(), nowMs);
            }
        }

        private void replaceAllocator(int zone) {
            allocators[zone] = new ShardAllocator(nextEpoch, nextEpoch++ <= zones.size(), nowMs);
        }

        private void replaceHolder(int node) {
            incarnations[node]++;
            List<String> order = new ArrayList<>(zones);
            order.add(0, order.remove(node % order.size()));
            holders[node] = new TokenHolder(ACCOUNT, order, incarnations[node] * 1_000_000L);
        }

        private void changeRate() {
            rate = random.nextBoolean() ? 1 : 1 + random.nextInt(200);
            burst = 1 + random.nextInt(60);
        }

        private void applyRate(int zone) {
            RateShare share = RateShare.of(ACCOUNT, rate, burst, zones, zones.get(zone));
            changes.get(zone).add(new ShareChange(nowMs, share));
            allocators[zone].configure(account -> share, nowMs);
        }

        /** Checks that the shares in force bound the number of admissions in each window between two admissions. */
        void assertAdmissionsBounded() {
            for (int from = 0; from < admitted.size(); from++) {
                for (int to = from; to < admitted.size(); to++) {
                    double bound = 0;
                    for (List<ShareChange> shareChanges : changes) {
                        bound += toBound(shareChanges, admitted.get(from), admitted.get(to));
                    }
                    long spanMs = admitted.get(to) - admitted.get(from);
                    assertTrue(
                            to - from + 1 <= bound + 1e-6,
                            (to - from + 1) + " admitted in " + spanMs + " ms, at most " + bound + " allowed");
                }
            }
        }

        /** Includes the burst of earlier shares, since tokens granted under them can be spent until the grants expire. */
        private static double toBound(List<ShareChange> shareChanges, long fromMs, long toMs) {
            double tokens = 0;
            long maxBurst = 0;
            for (int i = 0; i < shareChanges.size(); i++) {
                long startMs = shareChanges.get(i).atMs();
                long endMs =
                        i + 1 < shareChanges.size() ? shareChanges.get(i + 1).atMs() : Long.MAX_VALUE;
                RateShare share = shareChanges.get(i).share();
                tokens +=
                        share.ratePerSecond() * Math.max(0, Math.min(endMs, toMs) - Math.max(startMs, fromMs)) / 1_000;
                if (startMs <= toMs && endMs >= fromMs - TokenAllocator.GRANT_LENGTH_MS) {
                    maxBurst = Math.max(maxBurst, share.burst());
                }
            }
            return tokens + maxBurst;
        }
    }
}
