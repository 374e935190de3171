package io.cranberryarch.decision.once;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.base.ManualClock;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.IssuedKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Runs random schedules in which gates are stopped, replaced and paused, and the lease changes holders. */
class IdempotencyRegistryTest {

    private static final long LEASE_MS = 600_000;
    private static final long CALL_TIMEOUT_MS = 30_000;
    private static final long[] STEPS_MS = {1, 500, 10_000, 60_000, 400_000};
    private static final int GATE_COUNT = 3;
    private static final int STEP_COUNT = 400;

    @Property(tries = 1_000, seed = "1")
    void keyRunsAtMostOnceAndTheAnswerIsThatOfTheExecution(@ForAll long schedule) {
        Simulation simulation = new Simulation(schedule);
        for (int i = 0; i < STEP_COUNT; i++) {
            simulation.step();
        }
        assertTrue(
                simulation.refusedAttempts.stream().noneMatch(simulation.executedAttempts::contains),
                "a request that was refused as not run was executed");
    }

    @Test
    void ownerWithoutPredecessorRunsNewKeysAndLaterOwnerOnlyRecentOnes() {
        Optional<SlotOwnership> first = Optional.of(new SlotOwnership(true, 0, 0));
        Optional<SlotOwnership> second = Optional.of(new SlotOwnership(false, 0, 0));
        assertEquals(KeyAction.RUN, FirstUsePolicy.decideCallerKey(OptionalLong.empty(), false, first, 1, 1));
        assertEquals(KeyAction.UNKNOWN, FirstUsePolicy.decideCallerKey(OptionalLong.empty(), false, second, 1, 1));
        assertEquals(
                KeyAction.RUN,
                FirstUsePolicy.decideCallerKey(
                        OptionalLong.empty(), false, second, IdempotencyRegistry.RETENTION_MS, 1));
        assertEquals(
                KeyAction.RUN, FirstUsePolicy.decideCallerKey(OptionalLong.of(30_000), false, second, 30_000, 30_000));
        assertEquals(KeyAction.RUN, FirstUsePolicy.decideCallerKey(OptionalLong.empty(), true, second, 1, 1));
        assertEquals(
                KeyAction.NOT_OWNER,
                FirstUsePolicy.decideCallerKey(OptionalLong.empty(), true, Optional.empty(), 1, 1));
        assertEquals(KeyAction.TOO_EARLY, FirstUsePolicy.decideCallerKey(OptionalLong.of(30_000), false, first, 1, 1));
    }

    @Test
    void fullRegistryRunsNoNewKeyAndRemovesNone() {
        IdempotencyRegistry registry = new IdempotencyRegistry(2, 10);
        assertEquals(KeyAction.RUN, begin(registry, "a", 1, 0));
        registry.end("a", toAnswer(8));
        assertEquals(KeyAction.RUN, begin(registry, "b", 1, 1));
        assertEquals(KeyAction.FULL, begin(registry, "c", 1, 2));
        assertEquals(KeyAction.REPLAY, begin(registry, "a", 1, 3));
        assertEquals(KeyAction.MISMATCH, begin(registry, "a", 2, 3));
        assertEquals(KeyAction.JOIN, begin(registry, "b", 1, 3));
        registry.end("b", toAnswer(8));
        assertEquals(KeyAction.UNKNOWN, begin(registry, "a", 1, 4), "the older answer was evicted");
        assertEquals(KeyAction.REPLAY, begin(registry, "b", 1, 4));
        assertEquals(KeyAction.RUN, begin(registry, "c", 1, IdempotencyRegistry.RETENTION_MS));
    }

    private static KeyAction begin(IdempotencyRegistry registry, String key, long digest, long nowMs) {
        KeyedRequest request = new KeyedRequest(key, digest, OptionalLong.empty());
        return registry.begin(request, KeyAction.RUN, nowMs).action();
    }

    private static CallResult toAnswer(int length) {
        return new CallResult(200, List.of(), new byte[length], Optional.empty(), 0, Optional.empty());
    }

    /** Gates, a lease and callers that retry at any gate. */
    private static final class Simulation {
        private final Random random;
        private final ManualClock clock = new ManualClock(1_000_000);
        private final List<Gate> gates = new ArrayList<>();
        private final Set<String> sentKeys = new HashSet<>();
        private final List<Key> keys = new ArrayList<>();
        private final Map<String, Integer> executedBy = new HashMap<>();
        private final Set<Integer> executedAttempts = new HashSet<>();
        private final Set<Integer> refusedAttempts = new HashSet<>();
        private Optional<Gate> holder = Optional.empty();
        private long epoch;
        private long leaseEndsAtMs;
        private int attempts;

        Simulation(long schedule) {
            random = new Random(schedule);
            for (int i = 0; i < GATE_COUNT; i++) {
                gates.add(new Gate(i, i));
            }
        }

        void step() {
            Gate gate = gates.get(random.nextInt(GATE_COUNT));
            switch (random.nextInt(11)) {
                case 0 -> clock.advance(STEPS_MS[random.nextInt(STEPS_MS.length)]);
                case 1 -> gate.isPaused = !gate.isPaused && random.nextBoolean();
                case 2 -> {
                    if (random.nextInt(4) == 0) {
                        release(gate);
                        gates.set(gate.instance, new Gate(gate.instance, clock.monotonicMs()));
                    }
                }
                case 3 -> lease(gate);
                case 10 -> {
                    if (!gate.isPaused) {
                        release(gate);
                    }
                }
                case 4 -> keys.add(toKey(gate));
                case 5, 6 -> gate.advanceRandomCall();
                default -> attempt(gate);
            }
        }

        private void lease(Gate gate) {
            long nowMs = clock.monotonicMs();
            boolean isHeld = holder.filter(gate::equals).isPresent() && nowMs < leaseEndsAtMs;
            if (gate.isPaused || (!isHeld && nowMs < leaseEndsAtMs)) {
                return;
            }
            if (!isHeld) {
                holder = Optional.of(gate);
                epoch++;
                gate.ownership = new SlotOwnership(epoch == 1, nowMs, gate.toWallMs());
            }
            leaseEndsAtMs = nowMs + LEASE_MS;
            gate.leaseEndsAtMs = leaseEndsAtMs;
        }

        /** Ends the lease of a gate that releases it, or whose process was replaced. */
        private void release(Gate gate) {
            if (holder.filter(gate::equals).isPresent()) {
                leaseEndsAtMs = clock.monotonicMs();
                gate.leaseEndsAtMs = leaseEndsAtMs;
            }
        }

        private Key toKey(Gate gate) {
            String name = "key" + keys.size();
            long nowMs = clock.monotonicMs();
            long callerMs = nowMs + random.nextInt(120_000) - 60_000;
            return switch (random.nextInt(3)) {
                case 0 ->
                    new Key(
                            name,
                            OptionalLong.of(callerMs),
                            Optional.of(new IssuedKey("orders", gate.name, gate.incarnation, callerMs, name)),
                            nowMs);
                case 1 -> new Key(name, OptionalLong.of(callerMs), Optional.empty(), nowMs);
                default -> new Key(name, OptionalLong.empty(), Optional.empty(), nowMs);
            };
        }

        private void attempt(Gate gate) {
            if (keys.isEmpty() || gate.isPaused) {
                return;
            }
            Key key = keys.get(Math.max(0, keys.size() - 1 - random.nextInt(8)));
            boolean isRetentionExceeded = key.createdAtMs.isEmpty()
                    && clock.monotonicMs() - key.firstUsedAtMs >= IdempotencyRegistry.RETENTION_MS;
            if (!isRetentionExceeded) {
                gate.handle(key, attempts++);
            }
        }

        /** A key of a caller. */
        private record Key(String name, OptionalLong createdAtMs, Optional<IssuedKey> issued, long firstUsedAtMs) {}

        /** A request that was admitted for execution, and whether it was sent. */
        private static final class Running {
            private final Key key;
            private final int attempt;
            private final long decidedAtMs;
            private boolean isSent;

            Running(Key key, int attempt, long decidedAtMs) {
                this.key = key;
                this.attempt = attempt;
                this.decidedAtMs = decidedAtMs;
            }
        }

        /** One incarnation of a gate. */
        private final class Gate {
            private final int instance;
            private final String name;
            private final long incarnation;
            private final long skewMs = random.nextInt(9_000) - 4_500L;
            private final IdempotencyRegistry registry = new IdempotencyRegistry(50, 10_000);
            private final List<Running> running = new ArrayList<>();
            private SlotOwnership ownership;
            private long leaseEndsAtMs;
            private boolean isPaused;

            Gate(int instance, long incarnation) {
                this.instance = instance;
                this.name = "orders" + instance;
                this.incarnation = incarnation;
            }

            long toWallMs() {
                return clock.monotonicMs() + skewMs;
            }

            void handle(Key key, int attempt) {
                long nowMs = clock.monotonicMs();
                Optional<SlotOwnership> own = Optional.ofNullable(ownership).filter(any -> nowMs < leaseEndsAtMs);
                KeyAction firstUse = key.issued
                        .map(issued -> FirstUsePolicy.decideIssuedKey(issued, name, incarnation, toWallMs()))
                        .orElseGet(() -> FirstUsePolicy.decideCallerKey(
                                key.createdAtMs, sentKeys.add(key.name), own, nowMs, toWallMs()));
                KeyDecision decision = registry.begin(new KeyedRequest(key.name, 1, key.createdAtMs), firstUse, nowMs);
                switch (decision.action()) {
                    case RUN -> running.add(new Running(key, attempt, nowMs));
                    case REPLAY ->
                        assertEquals(
                                executedBy.get(key.name),
                                decision.answer().orElseThrow().status(),
                                key.name);
                    case JOIN -> assertTrue(running.stream().anyMatch(any -> any.key.equals(key)));
                    default -> refusedAttempts.add(attempt);
                }
            }

            void advanceRandomCall() {
                if (isPaused || running.isEmpty()) {
                    return;
                }
                Running call = running.get(random.nextInt(running.size()));
                if (call.isSent) {
                    registry.end(
                            call.key.name,
                            new CallResult(
                                    call.attempt, List.of(), new byte[9], Optional.empty(), 0, Optional.empty()));
                    running.remove(call);
                } else if (random.nextInt(4) == 0 || clock.monotonicMs() - call.decidedAtMs > CALL_TIMEOUT_MS) {
                    refusedAttempts.add(call.attempt);
                    registry.remove(call.key.name);
                    running.remove(call);
                } else {
                    call.isSent = true;
                    executedAttempts.add(call.attempt);
                    assertNull(executedBy.put(call.key.name, call.attempt), "second execution of " + call.key);
                }
            }
        }
    }
}
