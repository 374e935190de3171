package io.cranberryarch.api;

import java.util.List;

/**
 * Idempotency keys that a node issued.
 *
 * @param keys the keys, each for one request
 */
public record IssuedKeysBody(List<String> keys) {}
