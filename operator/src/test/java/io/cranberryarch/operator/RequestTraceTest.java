package io.cranberryarch.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RequestTraceTest {

    private static final String RULES_CHANGED_LINE =
            "2026-01-20T21:53:17.623Z INFO event=rules-changed source=store from=4 to=8";

    @Test
    void linesOfARequestAreSortedByTimeWithADescriptionOfTheOutcome() {
        RequestTrace trace = new RequestTrace("r1");
        trace.add("entry", RULES_CHANGED_LINE);
        trace.add(
                "entry", "2026-01-20T21:53:19.300Z INFO event=request-ended request=r1 status=503 outcome=overloaded");
        trace.add("gate", "2026-01-20T21:53:19.200Z INFO event=gate-failure request=r1 reason=overloaded waiting=4");
        trace.add("gate", "2026-01-20T21:53:19.201Z INFO event=gate-failure request=r2 reason=overloaded waiting=4");
        String[] lines = trace.toText().split("\n");
        assertEquals("2026-01-20T21:53:17.623Z entry rules-changed source=store from=4 to=8", lines[0]);
        assertEquals("2026-01-20T21:53:19.200Z gate gate-failure reason=overloaded waiting=4", lines[1]);
        assertTrue(lines[2].contains("no room before the deadline; not run"), lines[2]);
        assertTrue(lines[3].startsWith("2026-01-20T21:53:19.300Z entry request-ended status=503"), lines[3]);
    }

    @Test
    void refusalNamesTheOverloadedService() {
        RequestTrace trace = new RequestTrace("r1");
        trace.add("a", "2026-01-20T21:53:19.300Z INFO event=request-ended request=r1 outcome=overload-of-stock");
        assertTrue(trace.toText().contains("needs stock, which is overloaded"));
    }

    @Test
    void unrelatedLinesAreIgnored() {
        RequestTrace trace = new RequestTrace("r1");
        trace.add("a", "something else");
        trace.add("a", RULES_CHANGED_LINE);
        assertTrue(trace.isEmpty());
    }

    @Test
    void wordBeforeTheTimeIdentifiesTheProcess() {
        RequestTrace trace = new RequestTrace("42");
        trace.add("all.log", "1.2 node-a 2026-04-14T22:19:46.912Z INFO event=rules-changed from=1 to=2");
        trace.add("all.log", "1.2 node-b 2026-04-14T22:19:46.913Z INFO event=rules-changed from=1 to=3");
        trace.add(
                "all.log", "1.3 node-a 2026-04-14T22:19:46.950Z INFO event=request-ended request=42 outcome=over-rate");
        assertEquals("""
                2026-04-14T22:19:46.912Z node-a rules-changed from=1 to=2
                2026-04-14T22:19:46.950Z node-a request-ended outcome=over-rate
                    the client account was over its rate; not run
                """, trace.toText());
    }
}
