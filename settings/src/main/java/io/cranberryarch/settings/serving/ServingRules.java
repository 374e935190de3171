package io.cranberryarch.settings.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * One version of the rules for requests, with look-ups by host, path and key.
 *
 * <pre>
 * Optional&lt;ServingRoute&gt; route = rules.findRoute("shop.example", "/orders/17");
 * </pre>
 */
public final class ServingRules {

    private final long version;
    private final Map<String, List<ServingRoute>> routesByHost = new HashMap<>();
    private final List<ServingRoute> routes;
    private final Map<String, ServiceRule> services = new HashMap<>();
    private final Map<String, AccountRule> accountsByKey = new HashMap<>();
    private final List<AccountRule> accounts;
    private final RequestLimits limits;
    private final List<Integer> ranks;

    /**
     * Creates a version of the rules.
     *
     * @param version the version, which increases with each change
     * @param routes all routes
     * @param services all services
     * @param accounts all client accounts
     * @param limits the limits of requests
     */
    public ServingRules(
            long version,
            List<ServingRoute> routes,
            List<ServiceRule> services,
            List<AccountRule> accounts,
            RequestLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.accounts = List.copyOf(accounts);
        this.limits = limits;
        TreeSet<Integer> distinctRanks = new TreeSet<>();
        for (ServingRoute route : routes) {
            routesByHost
                    .computeIfAbsent(toHostKey(route.host()), unused -> new ArrayList<>())
                    .add(route);
            distinctRanks.add(route.rank());
        }
        routesByHost
                .values()
                .forEach(list -> list.sort(Comparator.comparingInt(
                        (ServingRoute route) -> -route.prefix().length())));
        for (ServiceRule service : services) {
            this.services.put(service.name(), service);
        }
        for (AccountRule account : accounts) {
            account.keys().forEach(key -> accountsByKey.put(key, account));
            account.rank().ifPresent(distinctRanks::add);
        }
        this.ranks = List.copyOf(distinctRanks);
    }

    /**
     * Returns the version.
     *
     * @return the version of the rules
     */
    public long getVersion() {
        return version;
    }

    /**
     * Finds the route of a request, which is the route of its host with the longest matching prefix.
     *
     * @param host the host as the caller sent it, with or without a port
     * @param path the path without its query
     * @return the route, or empty if none matches
     */
    public Optional<ServingRoute> findRoute(String host, String path) {
        for (ServingRoute route : routesByHost.getOrDefault(toHostKey(host), List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the client account of a key.
     *
     * @param key the key
     * @return the account, or empty if no account has the key
     */
    public Optional<AccountRule> findAccount(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /**
     * Finds the rules for a service.
     *
     * @param name the name of the service
     * @return the rules, or empty if there are none for the service
     */
    public Optional<ServiceRule> findService(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns all routes.
     *
     * @return the routes, unmodifiable
     */
    public List<ServingRoute> getRoutes() {
        return routes;
    }

    /**
     * Returns all client accounts.
     *
     * @return the accounts, unmodifiable
     */
    public List<AccountRule> getAccounts() {
        return accounts;
    }

    /**
     * Returns the limits of requests.
     *
     * @return the limits
     */
    public RequestLimits getLimits() {
        return limits;
    }

    /**
     * Returns the ranks that are in use.
     *
     * @return the distinct ranks, most important first, unmodifiable
     */
    public List<Integer> getRanks() {
        return ranks;
    }

    private static String toHostKey(String host) {
        int port = host.lastIndexOf(':');
        String name = port >= 0 && host.indexOf(']', port) < 0 ? host.substring(0, port) : host;
        // A fully qualified domain name may end with a dot.
        String unqualified = name.endsWith(".") ? name.substring(0, name.length() - 1) : name;
        return unqualified.toLowerCase(Locale.ROOT);
    }
}
