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
        long deadlineMs = registry.add("run", 5_000);
        assertEquals(Optional.of("run"), registry.find(deadlineMs));
        assertEquals(Optional.of("run"), registry.find(deadlineMs + 2));
        assertEquals(Optional.empty(), registry.find(deadlineMs + 500));
        assertEquals(Optional.empty(), registry.find(deadlineMs - 500));
        registry.remove(deadlineMs);
        assertTrue(registry.isEmpty());
    }

    @Property(tries = 200, seed = "21")
    void concurrentRunsAreDistinguished(@ForAll @Size(min = 1, max = 15) List<@IntRange(max = 20) Integer> offsets) {
        RunRegistry<Integer> registry = new RunRegistry<>();
        long[] deadlines = new long[offsets.size()];
        for (int i = 0; i < deadlines.length; i++) {
            deadlines[i] = registry.add(i, 5_000 + offsets.get(i));
            assertTrue(deadlines[i] <= 5_000 + offsets.get(i));
        }
        for (int i = 0; i < deadlines.length; i++) {
            assertEquals(Optional.of(i), registry.find(deadlines[i]));
        }
    }

    @Test
    void nestedCallIsMatchedWithinTheToleranceOnEitherSide() {
        RunRegistry<String> registry = new RunRegistry<>();
        long deadlineMs = registry.add("run", 5_000);
        assertFalse(registry.isEmpty());
        assertEquals(Optional.of("run"), registry.find(deadlineMs - 2));
        assertEquals(Optional.empty(), registry.find(deadlineMs - 3));
        assertEquals(Optional.of("run"), registry.find(deadlineMs + 200));
        assertEquals(Optional.empty(), registry.find(deadlineMs + 201));
    }

    @Test
    void runsBeyondTheMaximumShiftStillHaveUniqueDeadlines() {
        RunRegistry<Integer> registry = new RunRegistry<>();
        Set<Long> deadlines = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            deadlines.add(registry.add(i, 5_000));
        }
        assertEquals(100, deadlines.size());
        deadlines.forEach(registry::remove);
        assertTrue(registry.isEmpty());
    }
}
