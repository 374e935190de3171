package io.cranberryarch.operator.report;

/**
 * One line of the report: a client account and kind of request, or an availability zone.
 *
 * @param name what the line is about
 * @param counts the numbers of requests by outcome
 * @param verdict how the day went
 * @param reason the reason for the verdict
 */
public record ReportLine(String name, OutcomeCounts counts, Verdict verdict, String reason) {}
