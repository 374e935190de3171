package io.cranberryarch.decision.rate;

import java.util.List;

/**
 * A request for tokens of one client account to the allocator of a zone, which also settles earlier grants.
 *
 * @param zone the zone whose allocator is asked
 * @param account the name of the client account
 * @param number the number of the request, unique for the holder
 * @param needed tokens for calls that are waiting now, in units of {@link RateShare#UNITS_PER_TOKEN}
 * @param wanted tokens wanted in total, including those for the calls expected next, in units; 0 only settles grants
 * @param epoch the epoch of the allocator that issued the settled grants
 * @param settlements settlements of earlier grants, copied
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
