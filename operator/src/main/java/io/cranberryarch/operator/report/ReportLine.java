package io.cranberryarch.operator.report;

/**
 * One line of the report, on a client account and kind of request, or on an availability zone.
 *
 * @param name the account and kind, or the availability zone
 * @param counts the numbers of requests by outcome
 * @param verdict the verdict on the day
 * @param reason the reason for the verdict
 */
public record ReportLine(String name, OutcomeCounts counts, Verdict verdict, String reason) {}
