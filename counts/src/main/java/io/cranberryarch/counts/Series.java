package io.cranberryarch.counts;

import io.cranberryarch.api.Outcome;

/**
 * What is counted separately.
 *
 * @param minute the minute of the wall clock since 1970
 * @param account the client account, empty on routes open to all
 * @param kind the kind of request
 * @param outcome how the requests ended
 */
public record Series(long minute, String account, String kind, Outcome outcome) {}
