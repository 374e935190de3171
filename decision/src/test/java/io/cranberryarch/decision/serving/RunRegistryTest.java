package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RunRegistryTest {

    @Test
    void nestedCallIsMatchedByItsDeadline() {
        RunRegistry<String> registry = new RunRegistry<>();
        long deadlineMs = registry.add("run", "request", 5_000);
        assertEquals(Optional.of("run"), registry.find(Optional.empty(), deadlineMs));
        assertEquals(Optional.of("run"), registry.find(Optional.empty(), deadlineMs + 2));
        assertEquals(Optional.empty(), registry.find(Optional.empty(), deadlineMs + 500));
        assertEquals(Optional.empty(), registry.find(Optional.empty(), deadlineMs - 500));
        registry.remove("request", deadlineMs);
        assertTrue(registry.isEmpty());
    }

    @Property(tries = 200, seed = "21")
    void concurrentRunsAreDistinguished(@ForAll @Size(min = 1, max = 15) List<@IntRange(max = 20) Integer> offsets) {
        RunRegistry<Integer> registry = new RunRegistry<>();
        long[] deadlines = new long[offsets.size()];
        for (int i = 0; i < deadlines.length; i++) {
            deadlines[i] = registry.add(i, "request-" + i, 5_000 + offsets.get(i));
            assertTrue(deadlines[i] <= 5_000 + offsets.get(i));
        }
        for (int i = 0; i < deadlines.length; i++) {
            assertEquals(Optional.of(i), registry.find(Optional.empty(), deadlines[i]));
        }
    }

    @Test
    void nestedCallIsMatchedWithinTheToleranceOnEitherSide() {
        RunRegistry<String> registry = new RunRegistry<>();
        long deadlineMs = registry.add("run", "request", 5_000);
        assertFalse(registry.isEmpty());
        assertEquals(Optional.of("run"), registry.find(Optional.empty(), deadlineMs - 2));
        assertEquals(Optional.empty(), registry.find(Optional.empty(), deadlineMs - 3));
        assertEquals(Optional.of("run"), registry.find(Optional.empty(), deadlineMs + 200));
        assertEquals(Optional.empty(), registry.find(Optional.empty(), deadlineMs + 201));
    }

    @Test
    void runsBeyondTheMaximumShiftStillHaveUniqueDeadlines() {
        RunRegistry<Integer> registry = new RunRegistry<>();
        Set<Long> deadlines = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            deadlines.add(registry.add(i, "request-" + i, 5_000));
        }
        assertEquals(100, deadlines.size());
        deadlines.forEach(deadlineMs -> registry.remove("", deadlineMs));
        assertTrue(registry.isEmpty());
    }

    /**
     * A call whose own time limit ends before its run has a deadline that tells nothing about the run, and may even be
     * equal to that of another run.
     */
    @Test
    void callWithAShorterTimeLimitIsMatchedByTheIdentifierOfItsParent() {
        RunRegistry<String> registry = new RunRegistry<>();
        registry.add("order", "a1", 5_000);
        registry.add("browse", "b2", 4_700);
        assertEquals(Optional.of("order"), registry.find(Optional.of("a1"), 4_700));
        assertEquals(Optional.of("browse"), registry.find(Optional.of("unknown"), 4_700));
        assertEquals(Optional.empty(), registry.find(Optional.of("unknown"), 3_000));
    }

    @Test
    void callThatOutlastsTheRunOfItsParentIsNotMatchedToIt() {
        RunRegistry<String> registry = new RunRegistry<>();
        registry.add("order", "a1", 5_000);
        assertEquals(Optional.of("order"), registry.find(Optional.of("a1"), 5_200));
        assertEquals(Optional.empty(), registry.find(Optional.of("a1"), 5_201));
    }

    @Test
    void identifierStaysWithTheLatestRunOfARequest() {
        RunRegistry<String> registry = new RunRegistry<>();
        long first = registry.add("first", "a1", 5_000);
        long second = registry.add("second", "a1", 5_000);
        registry.remove("a1", first);
        assertEquals(Optional.of("second"), registry.find(Optional.of("a1"), 4_000));
        registry.remove("a1", second);
        assertEquals(Optional.empty(), registry.find(Optional.of("a1"), 4_000));
    }
}
