package io.cranberryarch.decision.rate;

/**
 * The answer of an allocator to a {@link TokenRequest}.
 *
 * <p>The grant ends {@link #lengthMs} after the holder sent the request, on the holder's monotonic clock. The allocator
 * counts the tokens as unspent for the same time after it received the request, so that it never expires the grant
 * before the holder does.
 *
 * @param number the number of the request
 * @param epoch the epoch of the allocator
 * @param grant the number of the grant
 * @param tokens granted tokens in units of {@link RateShare#UNITS_PER_TOKEN}, may be 0
 * @param lengthMs the length of the grant in milliseconds
 * @param waitMs time until the allocator expects to have a whole token again, in milliseconds, 0 if it has one
 */
public record TokenAnswer(long number, long epoch, long grant, long tokens, long lengthMs, long waitMs) {}
