package io.cranberryarch.decision.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RankQueueTest {

    private final RankQueue<String> queue = new RankQueue<>();

    @Test
    void importantRequestsGoFirstAndEqualRanksInOrderOfArrival() {
        queue.add("late-2", 2, 100);
        queue.add("first-0", 0, 100);
        queue.add("second-0", 0, 100);
        queue.add("one", 1, 100);
        assertEquals(2, queue.countAhead(0));
        assertEquals(4, queue.countAhead(7));
        assertEquals(Optional.of("first-0"), queue.poll());
        assertEquals(Optional.of("second-0"), queue.poll());
        assertEquals(Optional.of("one"), queue.poll());
        assertEquals(Optional.of("late-2"), queue.poll());
        assertEquals(Optional.empty(), queue.poll());
    }

    @Test
    void expiredRequestsAreRemovedOnce() {
        queue.add("soon", 0, 50);
        queue.add("later", 0, 100);
        assertEquals(List.of("soon"), queue.removeExpired(50));
        assertEquals(List.of(), queue.removeExpired(50));
        assertEquals(1, queue.getSize());
    }

    @Test
    void cancelledRequestsAreRemoved() {
        queue.add("one", 3, 50);
        assertTrue(queue.remove("one"));
        assertFalse(queue.remove("one"));
        assertEquals(0, queue.getSize());
    }
}
