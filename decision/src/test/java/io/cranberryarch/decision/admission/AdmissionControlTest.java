package io.cranberryarch.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.decision.admission.AdmissionControl.Outcome;
import io.cranberryarch.decision.admission.AdmissionControl.Verdict;
import io.cranberryarch.settings.Priority;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class AdmissionControlTest {

    private static final long TIMEOUT_MS = 1_000;

    @Property(tries = 200, seed = "1")
    void everyCallHasOneOutcomeAndSlotsAreNeverExceeded(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int slots) {
        Random random = new Random(seed);
        AdmissionControl control = new AdmissionControl(slots, 0);
        Set<Long> decided = new HashSet<>();
        int running = 0;
        long nowMs = 0;
        long entered = 0;
        for (int step = 0; step < 2_000; step++) {
            nowMs += random.nextInt(5);
            if (running > 0 && random.nextInt(3) == 0) {
                control.exit("kind", random.nextInt(50), random.nextInt(50), random.nextInt(20) == 0, nowMs);
                running--;
            } else {
                Priority priority = Priority.values()[random.nextInt(4)];
                control.enter(toCall(entered++, priority, "account" + random.nextInt(3), nowMs), nowMs);
            }
            for (Outcome outcome : control.poll(nowMs)) {
                assertTrue(decided.add(outcome.id()), "decided twice");
                running += outcome.verdict() == Verdict.RUN ? 1 : 0;
            }
            assertTrue(running <= slots);
        }
        control.poll(nowMs + TIMEOUT_MS).forEach(outcome -> decided.add(outcome.id()));
        assertEquals(entered, decided.size());
    }

    @Test
    void importantCallsRunFirstAndEvictLessImportantOnes() {
        AdmissionControl control = new AdmissionControl(1, 0);
        control.enter(toCall(0, Priority.LOW, "a", 0), 0);
        assertEquals(List.of(new Outcome(0, Verdict.RUN)), control.poll(0));
        for (int id = 1; id <= 4; id++) {
            control.enter(toCall(id, Priority.LOW, "a", 0), 0);
        }
        assertEquals(List.of(), control.poll(0));
        control.enter(toCall(5, Priority.CRITICAL, "a", 0), 0);
        assertEquals(List.of(new Outcome(4, Verdict.OVERLOADED)), control.poll(0));
        control.exit("kind", 1, 1, false, 1);
        assertEquals(List.of(new Outcome(5, Verdict.RUN)), control.poll(1));
    }

    @Test
    void accountsOfOnePriorityTakeTurnsByWeight() {
        AdmissionControl control = new AdmissionControl(1, 0);
        control.enter(toCall(0, Priority.NORMAL, "many", 0), 0);
        List<Long> order = new ArrayList<>();
        control.poll(0).forEach(outcome -> order.add(outcome.id()));
        control.enter(toCall(1, Priority.NORMAL, "many", 0), 0);
        control.enter(toCall(2, Priority.NORMAL, "many", 0), 0);
        control.enter(toCall(3, Priority.NORMAL, "one", 0), 0);
        for (int i = 0; i < 3; i++) {
            control.exit("kind", 1, 1, false, 0);
            control.poll(0).forEach(outcome -> order.add(outcome.id()));
        }
        assertEquals(List.of(0L, 3L, 1L, 2L), order);
    }

    @Test
    void callThatCannotEndInTimeIsRefusedAtOnce() {
        AdmissionControl control = new AdmissionControl(2, 0);
        control.enter(toCall(0, Priority.NORMAL, "a", 0), 0);
        control.poll(0);
        control.exit("kind", 500, 500, false, 500);
        control.enter(new WaitingCall(1, Priority.CRITICAL, "a", "kind", 1, 0, false, 900), 500);
        assertEquals(List.of(new Outcome(1, Verdict.TOO_LATE)), control.poll(500));
        control.enter(new WaitingCall(2, Priority.NORMAL, "a", "kind", 1, 256, false, 1_100), 500);
        assertEquals(List.of(new Outcome(2, Verdict.RUN)), control.poll(500));
    }

    private static WaitingCall toCall(long id, Priority priority, String account, long nowMs) {
        int level = AdmissionLevel.of(priority, String.valueOf(id));
        return new WaitingCall(id, priority, account, "kind", 1, level, false, nowMs + TIMEOUT_MS);
    }
}
