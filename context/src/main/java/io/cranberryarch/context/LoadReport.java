package io.cranberryarch.context;

/**
 * The load of a gate, reported with each answer.
 *
 * @param inFlight the number of calls that are running or waiting
 * @param limit the current limit of concurrent calls at the gate
 * @param threshold the lowest admission level at which calls are refused; see the admission package
 */
public record LoadReport(int inFlight, int limit, int threshold) {}
