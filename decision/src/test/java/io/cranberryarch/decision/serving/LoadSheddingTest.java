package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LoadSheddingTest {

    @Test
    void nothingIsRefusedBelowTheMinimumLoad() {
        assertEquals(0, LoadShedding.toRefusedRatio(0.5, 2, 3, false));
    }

    @Property(tries = 500, seed = "31")
    void rankIsRefusedOnlyWhenAllLessImportantOnesAreRefused(
            @ForAll @DoubleRange(max = 3) double load,
            @ForAll @IntRange(min = 2, max = 6) int ranks,
            @ForAll @IntRange(min = 0, max = 4) int position) {
        int upper = Math.min(position, ranks - 2);
        if (LoadShedding.toRefusedRatio(load, upper, ranks, false) > 0) {
            assertTrue(LoadShedding.toRefusedRatio(load, upper + 1, ranks, true) >= 0.999);
        }
    }

    @Test
    void newRequestsAreRefusedBeforeReturningOnes() {
        double load = 1.68;
        assertTrue(LoadShedding.toRefusedRatio(load, 2, 3, false) > 0.8);
        assertEquals(0, LoadShedding.toRefusedRatio(load, 2, 3, true));
    }

    @Test
    void importantRequestsAreAdmittedWhileLessImportantOnesFillTheQueue() {
        double load = 2.2;
        assertEquals(1, LoadShedding.toRefusedRatio(load, 2, 3, true));
        assertEquals(0, LoadShedding.toRefusedRatio(load, 1, 3, false));
        assertEquals(0, LoadShedding.toRefusedRatio(load, 0, 3, false));
    }

    @Test
    void retryAfterTimesAreSpread() {
        assertEquals(300, LoadShedding.toRetryAfterMs(0));
        assertEquals(900, LoadShedding.toRetryAfterMs(0.5));
        assertTrue(LoadShedding.toRetryAfterMs(0.9999) <= 1_500);
    }
}
