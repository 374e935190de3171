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
    private static final int STEPS = 600;

    @Property(tries = 1_500, seed = "1")
    void noWindowAdmitsMoreThanRateAndBurst(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 4) int zones,
            @ForAll @IntRange(min = 1, max = 4) int nodes) {
        World world = new World(new Random(seed), zones, nodes);
        for (int step = 0; step < STEPS; step++) {
            world.step();
        }
        world.check();
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
            assertTrue(burst < zoneCount || share.burst() >= 1, "each zone has a floor if there are tokens enough");
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

    /** A message on its way: a request, or an answer to one. */
    private record Sent(int node, int life, TokenRequest request, TokenAnswer answer) {}

    /** A share that came into force at an allocator. */
    private record Change(long atMs, RateShare share) {}

    /** Holders, allocators and a network that loses, doubles, delays and reorders messages. */
    private static final class World {

        private final Random random;
        private final List<String> zones;
        private final ShardAllocator[] allocators;
        private final TokenHolder[] holders;
        private final int[] lives;
        private final List<List<Change>> changes = new ArrayList<>();
        private final List<Sent> network = new ArrayList<>();
        private final List<Long> admitted = new ArrayList<>();
        private double rate;
        private double burst;
        private long nextEpoch = 1;
        private long nowMs = 10_000;

        World(Random random, int zoneCount, int nodeCount) {
            this.random = random;
            this.zones = toNames(zoneCount);
            this.allocators = new ShardAllocator[zoneCount];
            this.holders = new TokenHolder[nodeCount];
            this.lives = new int[nodeCount];
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
            int dice = random.nextInt(1_000);
            if (dice < 350) {
                call(node);
            } else if (dice < 650) {
                deliver();
            } else if (dice < 700) {
                send(node, holders[node].settle(nowMs));
            } else if (dice < 990) {
                nowMs += random.nextInt(8) == 0 ? random.nextInt(900) : random.nextInt(20);
            } else if (dice < 993) {
                nowMs += random.nextInt(5_000);
            } else if (dice < 995) {
                replaceAllocator(zone);
            } else if (dice < 996) {
                replaceHolder(node);
            } else if (dice < 997) {
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
                network.add(new Sent(node, lives[node], request, null));
            }
        }

        /** Delivers any message on its way, loses it, or delivers it and leaves a copy. */
        private void deliver() {
            if (network.isEmpty()) {
                return;
            }
            int index = random.nextInt(3) == 0 ? random.nextInt(network.size()) : network.size() - 1;
            int dice = random.nextInt(20);
            Sent sent = dice < 3 ? network.get(index) : network.remove(index);
            if (dice == 19) {
                return;
            }
            int zone = zones.indexOf(sent.request().zone());
            if (sent.answer() == null) {
                List<Change> known = changes.get(zone);
                RateShare share = known.get(known.size() - 1).share();
                TokenAnswer answer = allocators[zone].handle(sent.request(), share, nowMs);
                network.add(new Sent(sent.node(), sent.life(), sent.request(), answer));
            } else {
                holders[sent.node()].onAnswer(sent.request().zone(), sent.answer(), nowMs);
            }
        }

        private void replaceAllocator(int zone) {
            allocators[zone] = new ShardAllocator(nextEpoch, nextEpoch++ <= zones.size(), nowMs);
        }

        private void replaceHolder(int node) {
            lives[node]++;
            List<String> order = new ArrayList<>(zones);
            order.add(0, order.remove(node % order.size()));
            holders[node] = new TokenHolder(ACCOUNT, order, lives[node] * 1_000_000L);
        }

        private void changeRate() {
            rate = random.nextBoolean() ? 1 : 1 + random.nextInt(200);
            burst = 1 + random.nextInt(60);
        }

        private void applyRate(int zone) {
            RateShare share = RateShare.of(ACCOUNT, rate, burst, zones, zones.get(zone));
            changes.get(zone).add(new Change(nowMs, share));
            allocators[zone].configure(account -> share, nowMs);
        }

        /** In each window from one admission to another, the shares in force bound the number of admissions. */
        void check() {
            for (int from = 0; from < admitted.size(); from++) {
                for (int to = from; to < admitted.size(); to++) {
                    double bound = 0;
                    for (List<Change> known : changes) {
                        bound += toBound(known, admitted.get(from), admitted.get(to));
                    }
                    long spanMs = admitted.get(to) - admitted.get(from);
                    assertTrue(
                            to - from + 1 <= bound + 1e-6,
                            (to - from + 1) + " admitted in " + spanMs + " ms, at most " + bound + " allowed");
                }
            }
        }

        /** Tokens that were granted before a change may be spent until their grants end, so an old burst counts on. */
        private static double toBound(List<Change> known, long fromMs, long toMs) {
            double tokens = 0;
            long most = 0;
            for (int i = 0; i < known.size(); i++) {
                long startMs = known.get(i).atMs();
                long endMs = i + 1 < known.size() ? known.get(i + 1).atMs() : Long.MAX_VALUE;
                RateShare share = known.get(i).share();
                tokens +=
                        share.ratePerSecond() * Math.max(0, Math.min(endMs, toMs) - Math.max(startMs, fromMs)) / 1_000;
                if (startMs <= toMs && endMs >= fromMs - TokenAllocator.GRANT_LENGTH_MS) {
                    most = Math.max(most, share.burst());
                }
            }
            return tokens + most;
        }
    }
}
