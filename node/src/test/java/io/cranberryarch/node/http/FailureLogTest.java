package io.cranberryarch.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cranberryarch.base.ManualClock;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FailureLogTest {

    private final List<String> lines = new ArrayList<>();
    private final ManualClock clock = new ManualClock(0);
    private final FailureLog log = new FailureLog(clock, lines::add);

    private static CallResult createRefusal() {
        return CallResult.ofRefusal(Refusal.ofNotRun(RefusalReason.KEY_REJECTED, 0), 0, Optional.empty());
    }

    @Test
    void onlyFailedRequestsAreLogged() {
        log.onEnd("1", "acme", "order", createRefusal(), 7, 3);
        log.onEnd("2", "", "", createRefusal(), 0, 3);
        log.onEnd("3", "acme", "order", createResult(200), 7, 3);
        log.onEnd("4", "acme", "order", createResult(503), 7, 3);
        assertEquals(
                List.of(
                        "event=request-ended request=1 route=order account=acme outcome=key-rejected"
                                + " execution=not-run took-ms=7 settings-version=3",
                        "event=request-ended request=2 route=- account=- outcome=key-rejected"
                                + " execution=not-run took-ms=0 settings-version=3",
                        "event=request-ended request=4 route=order account=acme outcome=answered"
                                + " execution=run took-ms=7 settings-version=3"),
                lines);
    }

    @Test
    void linesAboveTheLimitAreOmittedAndCounted() {
        for (int i = 0; i < 1_000; i++) {
            log.onEnd(String.valueOf(i), "acme", "order", createRefusal(), 0, 1);
        }
        assertEquals(FailureLog.MAX_LINES_PER_S, lines.size());
        clock.advance(1_000);
        log.onEnd("last", "acme", "order", createRefusal(), 0, 1);
        assertEquals("event=log-left-out lines=950", lines.get(FailureLog.MAX_LINES_PER_S));
        assertEquals(FailureLog.MAX_LINES_PER_S + 2, lines.size());
    }

    private static CallResult createResult(int status) {
        return new CallResult(status, List.of(), new byte[0], Optional.empty(), 0, Optional.empty());
    }
}
