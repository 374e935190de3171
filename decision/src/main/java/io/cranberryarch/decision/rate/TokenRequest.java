package io.cranberryarch.decision.rate;

import java.util.List;

/**
 * Asks the allocator of a zone for tokens of one client account, and settles earlier grants.
 *
 * @param zone the zone whose allocator is asked
 * @param account the name of the client account
 * @param number the number of the request, unique for the holder
 * @param needed tokens for calls that wait now, in units of {@link RateShare#UNITS_PER_TOKEN}
 * @param wanted tokens wanted in all, with those for the calls expected next, in units; 0 only settles
 * @param epoch the epoch of the allocator that gave the settled grants
 * @param settlements what became of earlier grants
 */
public record TokenRequest(
        String zone,
        String account,
        long number,
        long needed,
        long wanted,
        long epoch,
        List<GrantSettlement> settlements) {

    /** Copies the list. */
    public TokenRequest {
        settlements = List.copyOf(settlements);
    }
}
