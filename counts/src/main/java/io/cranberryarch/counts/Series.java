package io.cranberryarch.counts;

import io.cranberryarch.api.Outcome;

/**
 * Identifies requests that are counted together.
 *
 * @param minute the minute of the wall clock since 1970
 * @param account the client account, empty on routes open to all
 * @param kind the kind of request
 * @param outcome the outcome of the requests
 */
public record Series(long minute, String account, String kind, Outcome outcome) {}
