package io.cranberryarch.decision.once;

import io.cranberryarch.context.IssuedKey;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether a key that this gate has not seen may run here, that is, whether no other gate can have run it.
 *
 * <p>An issued key may run only in the process that it names. A key chosen by the caller may run only at the owner of
 * its slot, and only if no earlier owner can have run it within the retention.
 *
 * <pre>
 * KeyAction firstUse = FirstUsePolicy.decideIssuedKey(key, instance, incarnation, wallMs);
 * KeyDecision decision = ledger.begin(request, firstUse, nowMs);
 * </pre>
 */
public final class FirstUsePolicy {

    /** The greatest difference between any two clocks of gates, or of a gate and a caller, in milliseconds. */
    public static final long MAX_CLOCK_SKEW_MS = 10_000;

    private FirstUsePolicy() {}

    /**
     * Decides about a key that a node issued.
     *
     * @param key the key, verified
     * @param instance the instance of this gate
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
     * @param createdAtMs time of day when the key was created, or empty if the key does not tell
     * @param isFirstAttempt whether nothing was sent under the key before, so that no earlier owner can have run it
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
        SlotOwnership own = ownership.get();
        if (own.isFirst() || isFirstAttempt) {
            return KeyAction.RUN;
        }
        // An earlier owner runs no key from further ahead than the skew, and its clock may be ahead by the skew.
        boolean isOurs = createdAtMs.isPresent()
                ? createdAtMs.getAsLong() > own.sinceWallMs() + 2 * MAX_CLOCK_SKEW_MS
                : nowMs - own.sinceMs() >= IdempotencyRegistry.RETENTION_MS;
        return isOurs ? KeyAction.RUN : KeyAction.UNKNOWN;
    }

    private static boolean isTooEarly(long createdAtMs, long wallMs) {
        return createdAtMs > wallMs + MAX_CLOCK_SKEW_MS;
    }
}
