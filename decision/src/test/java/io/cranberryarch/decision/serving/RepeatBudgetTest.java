package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

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
                budget.onFirstSend(nodes);
                // Each first send fails and asks for repeats until it is refused one.
                while (budget.tryRepeat(nodes)) {
                    repeats++;
                }
            }
        }
        double allowed = RATIO * nodes * firstSends + SLACK;
        assertTrue(repeats <= allowed, repeats + " repeats, " + allowed + " allowed");
    }
}
