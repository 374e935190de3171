package io.cranberryarch.operator.report;

/**
 * One line of the page: a client account and kind of request, or an availability zone.
 *
 * @param name what the line is about
 * @param counts the requests
 * @param verdict how the day went
 * @param reason why
 */
public record ReportLine(String name, OutcomeCounts counts, Verdict verdict, String reason) {}
