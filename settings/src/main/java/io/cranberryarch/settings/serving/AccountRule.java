package io.cranberryarch.settings.serving;

import java.util.List;
import java.util.Optional;

/**
 * The rules for a client account.
 *
 * @param name the name of the account, unique
 * @param keys the keys of the account's callers, copied
 * @param rank the importance of its requests, which overrides that of the route, or empty
 * @param ratePerS the maximum number of requests per second over the whole fleet, 0 for no limit
 * @param burst the maximum number of requests at once beyond the rate
 */
public record AccountRule(String name, List<String> keys, Optional<Integer> rank, double ratePerS, double burst) {

    /** Copies the list. */
    public AccountRule {
        keys = List.copyOf(keys);
    }

    /**
     * Checks whether the account has a rate limit.
     *
     * @return whether the requests of the account are counted against a rate
     */
    public boolean isLimited() {
        return ratePerS > 0;
    }
}
