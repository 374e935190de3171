package io.cranberryarch.decision.rate;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;

/**
 * The part of a client account's rate and burst that the allocator of one availability zone grants.
 *
 * <p>The parts of all zones add up to the rate, and to the burst rounded down to whole tokens. If the burst has fewer
 * tokens than there are zones, only as many zones as there are tokens have a part.
 *
 * <pre>
 * RateShare share = RateShare.of("acme", 90, 30, List.of("zone-a", "zone-b", "zone-c"), "zone-a");
 * share.burst(); // 10
 * </pre>
 *
 * @param ratePerSecond tokens per second, not negative
 * @param burst the maximum number of unspent tokens, not negative
 */
public record RateShare(double ratePerSecond, long burst) {

    /** The number of units in a token; tokens are granted in units so that fractions from several zones add up. */
    public static final long UNITS_PER_TOKEN = 1_000;

    private static final double MS_PER_SECOND = 1_000;

    /** A share with neither rate nor burst. */
    public static final RateShare NONE = new RateShare(0, 0);

    /**
     * Computes the share of a zone.
     *
     * @param account the name of the client account, not {@code null}
     * @param ratePerSecond the rate of the account, not negative
     * @param burst the burst of the account, not negative
     * @param zones all zones of the fleet, not {@code null}; every node must pass the same zones, in any order
     * @param zone the zone, not {@code null}
     * @return the share, {@link #NONE} if the zone has none
     */
    public static RateShare of(String account, double ratePerSecond, double burst, List<String> zones, String zone) {
        long tokens = (long) Math.floor(burst);
        if (tokens < 1) {
            return NONE;
        }
        int rank = rankZones(account, zones).indexOf(zone);
        long parts = Math.min(zones.size(), tokens);
        if (rank < 0 || rank >= parts) {
            return NONE;
        }
        long part = tokens / parts + (rank < tokens % parts ? 1 : 0);
        return new RateShare(ratePerSecond * part / tokens, part);
    }

    long toBurstUnits() {
        return burst * UNITS_PER_TOKEN;
    }

    double toUnits(long elapsedMs) {
        return ratePerSecond * UNITS_PER_TOKEN * elapsedMs / MS_PER_SECOND;
    }

    private static List<String> rankZones(String account, List<String> zones) {
        return zones.stream()
                .sorted(Comparator.comparingLong((String zone) -> toHash(account, zone))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static long toHash(String account, String zone) {
        return Hashing.xxh3_64().hashStream().putString(account).putString(zone).getAsLong();
    }
}
