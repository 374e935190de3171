package io.cranberryarch.context;

/**
 * What a gate says about its load on every answer.
 *
 * @param inFlight calls that run or wait now
 * @param limit calls that the gate admits at once now
 * @param threshold the admission level from which on calls are refused; see the admission package
 */
public record LoadReport(int inFlight, int limit, int threshold) {}
