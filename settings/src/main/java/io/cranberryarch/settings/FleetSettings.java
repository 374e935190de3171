package io.cranberryarch.settings;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The typed view of one version of the shared settings.
 *
 * <pre>
 * FleetSettings settings = FleetSettings.of(tree);
 * Optional&lt;Route&gt; route = settings.findRoute("/orders/17");
 * </pre>
 */
public final class FleetSettings {

    private final long version;
    private final Map<String, ClientAccount> accounts;
    private final Map<String, AccountKey> keys;
    private final Map<String, OperatorGrant> operators;
    private final List<Route> routes;

    FleetSettings(
            long version,
            Map<String, ClientAccount> accounts,
            Map<String, AccountKey> keys,
            Map<String, OperatorGrant> operators,
            List<Route> routes) {
        this.version = version;
        this.accounts = Map.copyOf(accounts);
        this.keys = Map.copyOf(keys);
        this.operators = Map.copyOf(operators);
        this.routes = routes.stream()
                .sorted(Comparator.comparingInt((Route route) -> -route.prefix().length())
                        .thenComparing(Route::name))
                .toList();
    }

    /**
     * Converts a tree to its typed view.
     *
     * @param tree the tree, not {@code null}
     * @return the typed view
     * @throws SettingsException if the tree is invalid; lists all faults
     */
    public static FleetSettings of(SettingTree tree) throws SettingsException {
        return new FleetSettingsReader(tree).read();
    }

    /**
     * Finds the route of a request, which is the route with the longest matching prefix.
     *
     * @param path the path without its query, not {@code null}
     * @return the route, or empty if none matches
     */
    public Optional<Route> findRoute(String path) {
        for (Route route : routes) {
            if (route.isMatch(path)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns a client account.
     *
     * @param name the name, not {@code null}
     * @return the account, or empty if there is none with the name
     */
    public Optional<ClientAccount> getAccount(String name) {
        return Optional.ofNullable(accounts.get(name));
    }

    /**
     * Returns all client accounts.
     *
     * @return the accounts by name, unmodifiable
     */
    public Map<String, ClientAccount> getAccounts() {
        return accounts;
    }

    /**
     * Returns a key.
     *
     * @param id the public identifier, not {@code null}
     * @return the key, or empty if it was never issued or was withdrawn
     */
    public Optional<AccountKey> getKey(String id) {
        return Optional.ofNullable(keys.get(id));
    }

    /**
     * Returns all keys.
     *
     * @return the keys by public identifier, unmodifiable
     */
    public Map<String, AccountKey> getKeys() {
        return keys;
    }

    /**
     * Returns the grant of the operator with a token.
     *
     * @param tokenSha256 SHA-256 of the token in hexadecimal, not {@code null}
     * @return the grant, or empty if no operator has the token
     */
    public Optional<OperatorGrant> getOperator(String tokenSha256) {
        return Optional.ofNullable(operators.get(tokenSha256));
    }

    /**
     * Returns all routes.
     *
     * @return the routes, longest prefix first, unmodifiable
     */
    public List<Route> getRoutes() {
        return routes;
    }

    /**
     * Returns the version.
     *
     * @return the version of the tree
     */
    public long getVersion() {
        return version;
    }
}
