package io.cranberryarch.decision.once;

import io.cranberryarch.context.CallResult;
import java.util.Optional;

/**
 * The decision about a request under an idempotency key.
 *
 * @param action the action of the gate
 * @param answer the stored answer for {@link KeyAction#REPLAY}, else empty
 */
public record KeyDecision(KeyAction action, Optional<CallResult> answer) {

    static KeyDecision of(KeyAction action) {
        return new KeyDecision(action, Optional.empty());
    }
}
