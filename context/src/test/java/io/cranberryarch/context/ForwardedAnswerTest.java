package io.cranberryarch.context;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ForwardedAnswerTest {

    private static ForwardedAnswer answer(String reason) {
        return new ForwardedAnswer(Execution.RUN, reason, 500, List.of(), new byte[0], Map.of(), 20, 3, 0);
    }

    @Test
    void onlyAnswersTellOfFailedNestedCalls() {
        assertTrue(answer(ForwardedAnswer.NESTED_CALL_FAILED).isNestedCallFailed());
        assertFalse(answer("").isNestedCallFailed());
        assertFalse(ForwardedAnswer.ofFailure(Execution.UNKNOWN, ForwardedAnswer.NESTED_CALL_FAILED)
                .isNestedCallFailed());
    }

    @Test
    void copyWithOtherHeadersKeepsTheReason() {
        ForwardedAnswer copy =
                answer(ForwardedAnswer.NESTED_CALL_FAILED).withHeaders(List.of(new HeaderField("a", "b")));
        assertTrue(copy.isNestedCallFailed());
        assertEquals(1, copy.headers().size());
    }
}
