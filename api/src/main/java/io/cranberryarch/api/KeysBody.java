package io.cranberryarch.api;

import java.util.List;

/**
 * The keys of client accounts, without their secrets.
 *
 * @param keys the keys in ascending order of their identifiers
 */
public record KeysBody(List<KeyBody> keys) {

    /**
     * A key.
     *
     * @param id the public identifier
     * @param account the client account
     * @param withdrawn whether it has been withdrawn
     */
    public record KeyBody(String id, String account, boolean withdrawn) {}
}
