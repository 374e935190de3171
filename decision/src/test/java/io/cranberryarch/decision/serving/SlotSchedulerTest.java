package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.decision.serving.SlotScheduler.Decision;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SlotSchedulerTest {

    private final SlotScheduler<String> scheduler = new SlotScheduler<>();

    /** An upstream may slow down when nearly all slots are in use, so at least 5 % stay free. */
    @Test
    void limitLeavesAtLeastOneSlotInTwentyFree() {
        assertEquals(19, SlotScheduler.toLimit(20));
        assertEquals(19, SlotScheduler.toLimit(21));
        assertEquals(106, SlotScheduler.toLimit(112));
        assertEquals(1, SlotScheduler.toLimit(1));
        for (int slots = 2; slots < 500; slots++) {
            assertTrue(SlotScheduler.toLimit(slots) <= 0.95 * slots, "limit of " + slots);
        }
    }

    @Test
    void requestsRunUpToTheLimitAndTheOthersWait() {
        assertEquals(Decision.START, scheduler.offer("a", 0, 1_000, 2, 0));
        assertEquals(Decision.START, scheduler.offer("b", 0, 1_000, 2, 0));
        assertEquals(Decision.WAIT, scheduler.offer("c", 0, 1_000, 2, 0));
        assertEquals(2, scheduler.countRunning());
        assertEquals(1, scheduler.countWaiting());
        assertEquals(Optional.empty(), scheduler.pollNext(2, 0));
    }

    @Test
    void freedSlotGoesToTheMostImportantRequest() {
        scheduler.offer("a", 0, 1_000, 1, 0);
        scheduler.offer("read", 2, 1_000, 1, 0);
        scheduler.offer("order", 0, 1_000, 1, 0);
        assertTrue(scheduler.release("a"));
        assertEquals(Optional.of("order"), scheduler.pollNext(1, 0));
        assertTrue(scheduler.release("order"));
        assertEquals(Optional.of("read"), scheduler.pollNext(1, 0));
    }

    @Test
    void requestThatCannotEndInTimeIsRefused() {
        scheduler.offer("a", 0, 1_000, 1, 0);
        for (int i = 0; i < 50; i++) {
            scheduler.recordDuration(200);
        }
        assertEquals(Decision.REFUSE, scheduler.offer("late", 0, 150, 1, 0));
        assertEquals(Decision.WAIT, scheduler.offer("early", 0, 1_000, 1, 0));
    }

    @Test
    void waitingRequestExpiresWhenItsRunWouldEndTooLate() {
        scheduler.offer("a", 0, 1_000, 1, 0);
        scheduler.offer("b", 0, 500, 1, 0);
        assertEquals(List.of(), scheduler.removeExpired(449));
        assertEquals(List.of("b"), scheduler.removeExpired(450));
        assertFalse(scheduler.removeWaiting("b"));
    }

    @Test
    void cancelledRequestLeavesTheQueue() {
        scheduler.offer("a", 0, 1_000, 1, 0);
        scheduler.offer("b", 0, 1_000, 1, 0);
        assertTrue(scheduler.removeWaiting("b"));
        assertFalse(scheduler.release("b"));
        assertTrue(scheduler.release("a"));
        assertEquals(Optional.empty(), scheduler.pollNext(1, 0));
    }
}
