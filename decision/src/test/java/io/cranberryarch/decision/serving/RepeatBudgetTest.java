package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RepeatBudgetTest {

    private static final double RATIO = 0.2;
    private static final double SLACK = 50;

    @Property(tries = 200, seed = "41")
    void allNodesTogetherStayWithinRatioAndSlack(
            @ForAll @IntRange(min = 1, max = 200) int nodes, @ForAll @IntRange(min = 0, max = 300) int firstSends) {
        int repeats = 0;
        for (int node = 0; node < nodes; node++) {
            RepeatBudget budget = new RepeatBudget(RATIO, SLACK);
            for (int i = 0; i < firstSends; i++) {
                budget.onFirstSend(nodes, 10L * i);
                // Each first send fails and is repeated until a repeat is refused.
                while (budget.tryRepeat(nodes, 0, 1, 10L * i)) {
                    repeats++;
                }
            }
        }
        double allowed = RATIO * nodes * firstSends + SLACK;
        assertTrue(repeats <= allowed, repeats + " repeats, " + allowed + " allowed");
    }

    /** Repeats within any 10 s stay within the sends of the same time, also when the rate of sends changes abruptly. */
    @Property(tries = 200, seed = "43")
    void repeatsInEachWindowStayWithinItsSends(
            @ForAll @IntRange(min = 1, max = 100) int nodes,
            @ForAll @Size(value = 20) List<@IntRange(max = 40) Integer> sendsPerTick) {
        RepeatBudget budget = new RepeatBudget(RATIO, SLACK);
        int[] sends = new int[400];
        int[] repeats = new int[400];
        for (int tick = 0; tick < sends.length; tick++) {
            sends[tick] = sendsPerTick.get(tick / 20);
            for (int i = 0; i < sends[tick]; i++) {
                budget.onFirstSend(nodes, 100L * tick);
                repeats[tick] += budget.tryRepeat(nodes, 0, 1, 100L * tick) ? 1 : 0;
            }
        }
        for (int end = 100; end <= sends.length; end++) {
            int start = end - 100;
            double allowed = RATIO * Arrays.stream(sends, start, end).sum() + SLACK / nodes;
            int used = Arrays.stream(repeats, start, end).sum();
            assertTrue(used <= allowed + 1, used + " repeats, " + allowed + " allowed from tick " + start);
        }
    }

    /** A leaf that rejects calls: the first call of a run leaves repeats to the later ones, whose runs are nearly done. */
    @Test
    void laterCallsOfARunMayRepeatWhenFirstCallsMayNot() {
        RepeatBudget budget = createBudgetWithSends();
        while (budget.tryRepeat(1, 0, RepeatBudget.toProgress(0), 10_000)) {
            // Uses all repeats available to first calls.
        }
        assertFalse(budget.tryRepeat(1, 0, RepeatBudget.toProgress(0), 10_000));
        assertTrue(budget.tryRepeat(1, 0, RepeatBudget.toProgress(3), 10_000));
        assertTrue(budget.tryRepeat(1, 0, 1, 10_000));
    }

    @Test
    void progressGrowsWithServedCalls() {
        assertEquals(0, RepeatBudget.toProgress(0));
        assertEquals(0.5, RepeatBudget.toProgress(1));
        assertEquals(0.75, RepeatBudget.toProgress(3));
    }

    @Test
    void callsOfRepeatedRunsCountAgainstTheService() {
        RepeatBudget budget = new RepeatBudget(RATIO, SLACK);
        for (int i = 0; i < 1_000; i++) {
            budget.onFirstSend(1, 10L * i);
        }
        for (int i = 0; i < 60; i++) {
            budget.onSendInRepeatedRun(1, 10_000);
        }
        assertFalse(budget.tryRepeat(1, 0, 1, 10_000));
    }

    @Test
    void importantRequestsMayRepeatWhenLessImportantOnesMayNot() {
        RepeatBudget budget = new RepeatBudget(RATIO, SLACK);
        for (int i = 0; i < 1_000; i++) {
            budget.onFirstSend(1, 10L * i);
        }
        while (budget.tryRepeat(1, 2, 1, 10_000)) {
            // Uses all repeats available to this rank.
        }
        assertTrue(budget.tryRepeat(1, 0, 1, 10_000));
    }

    @Test
    void nodesWithoutSendsShareTheAllowanceOfTheFleet() {
        assertEquals(25, countRepeats(new RepeatBudget(RATIO, SLACK), 1, 0));
        assertEquals(2, countRepeats(new RepeatBudget(RATIO, SLACK), 10, 0));
        assertEquals(0, countRepeats(new RepeatBudget(RATIO, SLACK), 100, 0));
    }

    @Test
    void firstSendsEarnRepeatsThatExpireAfterSomeSeconds() {
        // 100 sends per second earn 18 repeats per second, accumulated over 1 s, in addition to the allowance of 25.
        assertEquals(43, countRepeats(createBudgetWithSends(), 1, 10_000), 1);
        assertEquals(25, countRepeats(createBudgetWithSends(), 1, 30_000), 1);
    }

    private static RepeatBudget createBudgetWithSends() {
        RepeatBudget budget = new RepeatBudget(RATIO, SLACK);
        for (int i = 0; i < 1_000; i++) {
            budget.onFirstSend(1, 10L * i);
        }
        return budget;
    }

    @Test
    void remainingRepeatsAreReported() {
        RepeatBudget budget = new RepeatBudget(RATIO, SLACK);
        assertEquals(25, budget.getRemaining(1), 1e-9);
        budget.tryRepeat(1, 0, 1, 0);
        assertEquals(24, budget.getRemaining(1), 1e-9);
    }

    private static int countRepeats(RepeatBudget budget, int nodes, long nowMs) {
        int repeats = 0;
        while (budget.tryRepeat(nodes, 0, 1, nowMs)) {
            repeats++;
        }
        return repeats;
    }
}
