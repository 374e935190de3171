package io.cranberryarch.operator.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.api.CountsGap;
import io.cranberryarch.api.Outcome;
import io.cranberryarch.settings.ReportSettings;
import io.cranberryarch.settings.SettingsException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class DayReportTest {

    private static final long DAY_MS = 1_796_342_400_000L;
    private static final int DAY_MINUTES = 24 * 60;

    private final List<CountsBody.Row> rows = new ArrayList<>();
    private final List<CountsBody.KindMinute> kindMinutes = new ArrayList<>();
    private final List<CountsBody.AccountMinute> accountMinutes = new ArrayList<>();
    private final List<CountsBody.Source> sources = new ArrayList<>();

    @Test
    void completeDayWithoutFailuresMeetsAllTargets() throws Exception {
        rows.add(new CountsBody.Row("acme", "order", "zone-a", Outcome.OK, 100_000));
        rows.add(new CountsBody.Row("acme", "order", "zone-a", Outcome.OVER_RATE, 5_000));
        rows.add(new CountsBody.Row("acme", "order", "zone-a", Outcome.CLIENT_ERROR, 5_000));
        sources.add(new CountsBody.Source("a1", DAY_MS + 5, "zone-a", List.of(0L, 1L), 900, true, 0));
        DayReport report = report(Map.of());
        assertEquals(Verdict.WELL, report.verdict());
        assertEquals(1.0, report.score());
    }

    @Test
    void lowestGoodputRecoveryAndRefusalsBelowRateAreReported() throws Exception {
        rows.add(new CountsBody.Row("acme", "order", "zone-a", Outcome.OK, 999_900));
        rows.add(new CountsBody.Row("zeta", "notice", "zone-b", Outcome.OK, 90));
        rows.add(new CountsBody.Row("zeta", "notice", "zone-b", Outcome.SHED, 10));
        rows.add(new CountsBody.Row("zeta", "notice", "zone-b", Outcome.OVER_RATE, 50));
        kindMinutes.add(new CountsBody.KindMinute(602, "notice", 30, 0, 30));
        kindMinutes.add(new CountsBody.KindMinute(600, "notice", 20, 5, 25));
        kindMinutes.add(new CountsBody.KindMinute(601, "notice", 20, 5, 25));
        kindMinutes.add(new CountsBody.KindMinute(601, "order", 20, 0, 20));
        accountMinutes.add(new CountsBody.AccountMinute(600, "zeta", 50, 30));
        accountMinutes.add(new CountsBody.AccountMinute(601, "zeta", 60, 20));
        DayReport report = report(Map.of("/owner/report/zones/zone-a", "3", "/owner/report/weights/recovery", "0"));
        assertEquals(Verdict.NOT_WELL, report.verdict());
        assertEquals("zeta / notice", report.lowestGoodput().orElseThrow().name());
        assertEquals(List.of(new OverloadPeriod("notice", 600, 602, true)), report.overloads());
        assertEquals(Map.of("zeta", 10L), report.refusalsBelowRate());
        assertEquals((3 * (1 - 10.0 / 1_000_000) + 2 * (3 * 1 + 0.9) / 4) / 5, report.score(), 1e-12);
        String page = HtmlReportFormatter.format(report, kindMinutes);
        assertTrue(page.contains("<svg") && page.contains("recovery took 2 min"), page);
    }

    @Test
    void everyGapIsReported() throws Exception {
        sources.add(new CountsBody.Source("a1", DAY_MS + 5, "zone-a", List.of(1L, 3L), DAY_MINUTES, false, 0));
        sources.add(new CountsBody.Source("a2", DAY_MS - 5, "zone-a", List.of(7L, 8L), 700, false, 0));
        sources.add(new CountsBody.Source("a3", DAY_MS - 5, "zone-a", List.of(7L, 8L), 700, true, 12));
        sources.add(new CountsBody.Source("a4", DAY_MS - 5, "zone-a", List.of(7L, 8L), DAY_MINUTES, false, 0));
        DayReport report = report(Map.of());
        assertEquals(Verdict.INCOMPLETE, report.verdict());
        String page = TextReportFormatter.format(report);
        assertTrue(page.contains("a1 (zone-a, process " + (DAY_MS + 5) + "): 2 increments missing"), page);
        assertTrue(page.contains("a2") && page.contains("740 minutes without counts"), page);
        assertTrue(page.contains("12 requests dropped"), page);
        assertEquals(3, report.gaps().size());
    }

    @Test
    void everyInvalidSettingIsReported() {
        Map<String, String> values = Map.of("/owner/report/kinds/order", "many", "/owner/report/weights/luck", "1");
        SettingsException e = assertThrows(SettingsException.class, () -> ReportSettings.of(values));
        assertEquals(2, e.getFaults().size());
    }

    private DayReport report(Map<String, String> settings) throws SettingsException {
        CountsBody counts = new CountsBody(rows, kindMinutes, accountMinutes, sources);
        List<CountsGap> gaps = CountsGap.find(counts, DAY_MS, DAY_MINUTES);
        return DayReport.of("2026-12-04", counts, ReportSettings.of(settings), Map.of("zeta", 1.0), gaps);
    }
}
