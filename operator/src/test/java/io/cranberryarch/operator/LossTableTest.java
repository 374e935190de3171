package io.cranberryarch.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class LossTableTest {

    private static final String FIRST =
            "2026-01-14T15:17:22.609Z INFO EventLog event=request-ended request=a1 route=read "
                    + "service=shop account=ana nested=false status=503 outcome=overload-of-stock took-ms=0";
    private static final String SECOND =
            "2026-01-14T15:17:23.000Z INFO EventLog event=request-ended request=a2 route=read "
                    + "service=shop account=ana nested=false status=503 outcome=overload-of-stock took-ms=4";
    private static final String NESTED =
            "2026-01-14T15:17:22.700Z INFO EventLog event=request-ended request=a3.b route=level "
                    + "service=stock account=- nested=true parent=a3 status=503 outcome=rejected-by-upstream took-ms=9";

    private final LossTable table = new LossTable(2);

    @Test
    void requestsAreCountedByReasonAndInterval() {
        table.add("all.log", FIRST);
        table.add("all.log", SECOND);
        table.add("all.log", SECOND.replace(":23.000", ":24.000"));
        List<String> lines = table.toText().lines().toList();
        assertEquals("requests of callers", lines.get(0));
        assertTrue(lines.get(1).contains("3  503 overload-of-stock"), lines.get(1));
        assertEquals("from 2026-01-14T15:17:22Z", lines.get(2));
        assertTrue(lines.get(3).matches(" +2  503 overload-of-stock .* 2 ms"), lines.get(3));
        assertEquals("from 2026-01-14T15:17:24Z", lines.get(4));
    }

    @Test
    void nestedCallsAreCountedApart() {
        table.add("all.log", NESTED);
        String text = table.toText();
        assertFalse(text.contains("from "), text);
        assertTrue(text.contains("1  503 rejected-by-upstream"), text);
    }

    @Test
    void linesThatWereLeftOutAreReported() {
        table.add("all.log", "event=log-left-out lines=12");
        assertTrue(table.toText().contains("12 lines are missing"), table.toText());
    }

    @Test
    void lineWithoutReadableTimeStillCounts() {
        table.add("all.log", FIRST.substring(FIRST.indexOf("event")));
        assertTrue(table.toText().contains("(no time)"), table.toText());
    }

    @Test
    void otherLinesAreIgnored() {
        table.add("all.log", "no event");
        table.add("all.log", "event=peer-lost peer=b");
        assertEquals("requests of callers\nnested calls\n", table.toText());
    }
}
