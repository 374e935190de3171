package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class EventLogTest {

    private final List<String> lines = new CopyOnWriteArrayList<>();

    @Test
    void requestLinesAboveTheLimitAreDroppedAndCounted() {
        int logged = 0;
        try (EventLog log = new EventLog(5, lines::add)) {
            for (int i = 0; i < 1_000; i++) {
                // A thousand refusals within the same second.
                if (log.tryAcquireRequestLine(7_000 + i / 2)) {
                    log.info("event=request-ended request=" + i);
                    logged++;
                }
            }
            assertTrue(log.tryAcquireRequestLine(9_000));
        }
        assertEquals(5, logged);
        assertTrue(lines.contains("event=log-left-out lines=995"), lines.toString());
    }

    @Test
    void slowSinkDoesNotBlockCallersAndDroppedLinesAreCounted() throws Exception {
        CountDownLatch sinkReleased = new CountDownLatch(1);
        EventLog log = new EventLog(5, line -> {
            try {
                sinkReleased.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            lines.add(line);
        });
        for (int i = 0; i < 10_000; i++) {
            log.info("event=rules-changed to=" + i);
        }
        sinkReleased.countDown();
        TestFleet.await(() -> lines.stream().anyMatch(line -> line.startsWith("event=log-left-out")));
        log.close();
        long dropped = lines.stream()
                .filter(line -> line.startsWith("event=log-left-out"))
                .mapToLong(line -> Long.parseLong(line.substring(line.lastIndexOf('=') + 1)))
                .sum();
        long written =
                lines.stream().filter(line -> line.startsWith("event=rules")).count();
        assertEquals(10_000, dropped + written);
    }
}
