package io.cranberryarch.operator.report;

/**
 * One line of the page: a client account and kind of request, or an availability zone.
 *
 * @param name what the line is about
 * @param tally the requests
 * @param verdict how the day went
 * @param reason why
 */
public record Line(String name, Tally tally, Verdict verdict, String reason) {}
