package io.cranberryarch.decision.once;

/** The action of a gate for a request under an idempotency key. */
public enum KeyAction {
    /** Runs it: no request has run under the key, and no other gate may run one. */
    RUN,
    /** Waits for the answer of the execution in progress. */
    JOIN,
    /** Answers with the stored answer. */
    REPLAY,
    /** Refuses: the key was used with a different request. */
    MISMATCH,
    /** Refuses: a request may have run under the key, and its answer is not available at this gate. */
    UNKNOWN,
    /** Refuses: the creation time of the key lies in the future. */
    TOO_EARLY,
    /** Refuses: the limit of recorded keys is reached. */
    FULL,
    /** Refuses: another gate owns the slot of the key. */
    NOT_OWNER
}
