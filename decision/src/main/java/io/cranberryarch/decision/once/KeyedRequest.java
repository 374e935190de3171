package io.cranberryarch.decision.once;

import java.util.OptionalLong;

/**
 * A request under an idempotency key.
 *
 * @param key the idempotency key with its client account
 * @param digest a digest over method, target and body
 * @param createdAtMs time of day when the key was created, or empty if the key does not contain it
 */
public record KeyedRequest(String key, long digest, OptionalLong createdAtMs) {}
