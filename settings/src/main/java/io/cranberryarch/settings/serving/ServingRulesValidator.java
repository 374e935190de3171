package io.cranberryarch.settings.serving;

import io.cranberryarch.settings.SettingsException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Checks that a version of the rules is consistent, so that one with a mistake does not replace one that works. Rules
 * that could be read may still contradict themselves or name what does not exist.
 */
public final class ServingRulesValidator {

    private ServingRulesValidator() {}

    /**
     * Checks a version of the rules.
     *
     * @param rules the rules, not {@code null}
     * @throws SettingsException if they are inconsistent, with all faults
     */
    public static void validate(ServingRules rules) throws SettingsException {
        List<String> faults = new ArrayList<>();
        Set<String> places = new HashSet<>();
        for (ServingRoute route : rules.getRoutes()) {
            checkRoute(route, rules, faults);
            if (!places.add(route.host().toLowerCase(Locale.ROOT) + route.prefix())) {
                faults.add(toLabel(route) + ": another route has the host " + route.host() + " and the prefix "
                        + route.prefix());
            }
        }
        checkAccounts(rules.getAccounts(), faults);
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
    }

    private static void checkRoute(ServingRoute route, ServingRules rules, List<String> faults) {
        if (route.host().isBlank()) {
            faults.add(toLabel(route) + ": no host");
        }
        if (!route.prefix().startsWith("/") || !route.prefix().endsWith("/")) {
            faults.add(toLabel(route) + ": the prefix '" + route.prefix() + "' does not start and end with a slash");
        }
        for (WeightedService target : route.services()) {
            if (rules.findService(target.service()).isEmpty()) {
                faults.add(toLabel(route) + ": unknown service '" + target.service() + "'");
            }
            if (target.weight() < 0) {
                faults.add(toLabel(route) + ": negative weight of the service '" + target.service() + "'");
            }
        }
    }

    private static void checkAccounts(List<AccountRule> accounts, List<String> faults) {
        Map<String, String> holders = new HashMap<>();
        for (AccountRule account : accounts) {
            for (String key : account.keys()) {
                String holder = holders.putIfAbsent(key, account.name());
                if (holder != null && !holder.equals(account.name())) {
                    // Keys are secrets, which must not appear in logs.
                    faults.add("account " + account.name() + ": a key is also held by the account " + holder);
                }
            }
            if (!(account.ratePerS() >= 0) || !(account.burst() >= 0)) {
                faults.add("account " + account.name() + ": negative rate or burst");
            }
        }
    }

    private static String toLabel(ServingRoute route) {
        return "route " + route.name();
    }
}
