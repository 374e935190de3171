package io.cranberryarch.operator.report;

import io.cranberryarch.api.CountsBody;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes a report as one HTML page that needs no other file: the text, and a small plot for each kind of request. */
public final class HtmlReportFormatter {

    private static final int WIDTH = 560;
    private static final int HEIGHT = 200;
    private static final int MAX_PLOTS = 20;
    private static final double MINUTES_PER_HOUR = 60.0;

    private HtmlReportFormatter() {}

    /**
     * Writes a report.
     *
     * @param report the report, not {@code null}
     * @param minutes the counts of all kinds by minute
     * @return the page
     * @throws IOException if a plot cannot be drawn
     */
    public static String format(DayReport report, List<CountsBody.KindMinute> minutes) throws IOException {
        StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n");
        page.append("<title>Report of ").append(escape(report.day())).append("</title>\n");
        page.append("<style>body{font-family:sans-serif;margin:2em}pre{overflow-x:auto}</style></head><body>\n");
        page.append("<h1>")
                .append(escape(TextReportFormatter.toHeadline(report)))
                .append("</h1>\n");
        page.append("<pre>").append(escape(TextReportFormatter.format(report))).append("</pre>\n");
        int plots = 0;
        for (Map.Entry<String, List<CountsBody.KindMinute>> entry :
                group(minutes).entrySet()) {
            if (plots++ == MAX_PLOTS) {
                break;
            }
            page.append("<figure>")
                    .append(plot(entry.getKey(), entry.getValue()))
                    .append("</figure>\n");
        }
        return page.append("</body></html>\n").toString();
    }

    private static Map<String, List<CountsBody.KindMinute>> group(List<CountsBody.KindMinute> minutes) {
        Map<String, List<CountsBody.KindMinute>> groups = new TreeMap<>();
        for (CountsBody.KindMinute minute : minutes) {
            groups.computeIfAbsent(minute.kind(), key -> new ArrayList<>()).add(minute);
        }
        return groups;
    }

    private static String plot(String kind, List<CountsBody.KindMinute> minutes) throws IOException {
        minutes.sort(Comparator.comparing(CountsBody.KindMinute::minute));
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(kind)
                .xAxisTitle("hour of the day")
                .yAxisTitle("requests a minute")
                .build();
        double[] hours =
                minutes.stream().mapToDouble(m -> m.minute() / MINUTES_PER_HOUR).toArray();
        double[] ok = minutes.stream().mapToDouble(CountsBody.KindMinute::ok).toArray();
        double[] due = minutes.stream().mapToDouble(CountsBody.KindMinute::due).toArray();
        double[] shed =
                minutes.stream().mapToDouble(CountsBody.KindMinute::shed).toArray();
        chart.addSeries("due", hours, due).setMarker(SeriesMarkers.NONE);
        chart.addSeries("whole answers", hours, ok).setMarker(SeriesMarkers.NONE);
        chart.addSeries("shed", hours, shed).setMarker(SeriesMarkers.NONE);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, bytes, VectorGraphicsFormat.SVG);
        String svg = bytes.toString(StandardCharsets.UTF_8);
        return svg.substring(svg.indexOf("<svg"));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
