package io.cranberryarch.decision.once;

import io.cranberryarch.context.IssuedKey;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether a request under a key that is new to this gate may run, that is, whether no other gate can have run
 * one under the same key.
 *
 * <p>Requests under an issued key may run only in the process that the key names. Requests under a key chosen by the
 * caller may run only at the owner of the key's slot, and only if no earlier owner can have run one within the
 * retention time.
 *
 * <pre>
 * KeyAction firstUse = FirstUsePolicy.decideIssuedKey(key, instance, incarnation, wallMs);
 * KeyDecision decision = registry.begin(request, firstUse, nowMs);
 * </pre>
 */
public final class FirstUsePolicy {

    /** The maximum clock difference between any two gates, or a gate and a caller, in milliseconds. */
    public static final long MAX_CLOCK_SKEW_MS = 10_000;

    private FirstUsePolicy() {}

    /**
     * Decides about a key that a node issued.
     *
     * @param key the verified key, not {@code null}
     * @param instance the instance of this gate, not {@code null}
     * @param incarnation the incarnation of this gate
     * @param wallMs time of day in milliseconds
     * @return {@link KeyAction#RUN}, {@link KeyAction#UNKNOWN} or {@link KeyAction#TOO_EARLY}
     */
    public static KeyAction decideIssuedKey(IssuedKey key, String instance, long incarnation, long wallMs) {
        if (!key.instance().equals(instance) || key.incarnation() != incarnation) {
            return KeyAction.UNKNOWN;
        }
        return isTooEarly(key.issuedAtMs(), wallMs) ? KeyAction.TOO_EARLY : KeyAction.RUN;
    }

    /**
     * Decides about a key that the caller chose.
     *
     * @param createdAtMs time of day when the key was created, or empty if the key does not contain it
     * @param isFirstAttempt whether no request was sent under the key before, so that no earlier owner can have run one
     * @param ownership the ownership of the key's slot, or empty if this gate does not own it now
     * @param nowMs monotonic time in milliseconds
     * @param wallMs time of day in milliseconds
     * @return {@link KeyAction#RUN}, {@link KeyAction#UNKNOWN}, {@link KeyAction#TOO_EARLY} or
     *     {@link KeyAction#NOT_OWNER}
     */
    public static KeyAction decideCallerKey(
            OptionalLong createdAtMs,
            boolean isFirstAttempt,
            Optional<SlotOwnership> ownership,
            long nowMs,
            long wallMs) {
        if (ownership.isEmpty()) {
            return KeyAction.NOT_OWNER;
        }
        if (createdAtMs.isPresent() && isTooEarly(createdAtMs.getAsLong(), wallMs)) {
            return KeyAction.TOO_EARLY;
        }
        SlotOwnership current = ownership.get();
        if (current.isFirst() || isFirstAttempt) {
            return KeyAction.RUN;
        }
        // An earlier owner accepts keys created up to one skew ahead of its clock, which may itself be one skew ahead.
        boolean isUnusedElsewhere = createdAtMs.isPresent()
                ? createdAtMs.getAsLong() > current.sinceWallMs() + 2 * MAX_CLOCK_SKEW_MS
                : nowMs - current.sinceMs() >= IdempotencyRegistry.RETENTION_MS;
        return isUnusedElsewhere ? KeyAction.RUN : KeyAction.UNKNOWN;
    }

    private static boolean isTooEarly(long createdAtMs, long wallMs) {
        return createdAtMs > wallMs + MAX_CLOCK_SKEW_MS;
    }
}
