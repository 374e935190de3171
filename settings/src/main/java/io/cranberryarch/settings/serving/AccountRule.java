package io.cranberryarch.settings.serving;

import java.util.List;
import java.util.Optional;

/**
 * A client account.
 *
 * @param name the name, unique
 * @param keys the keys of its callers
 * @param rank the importance of its requests, which goes before that of the route, if set
 * @param ratePerS the most requests a second over the whole fleet, 0 for no limit
 * @param burst the most requests at once beyond the rate
 */
public record AccountRule(String name, List<String> keys, Optional<Integer> rank, double ratePerS, double burst) {

    /** Copies the list. */
    public AccountRule {
        keys = List.copyOf(keys);
    }

    /**
     * Tells whether the account has a limit.
     *
     * @return whether its requests are counted against a rate
     */
    public boolean isLimited() {
        return ratePerS > 0;
    }
}
