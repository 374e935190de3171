package io.cranberryarch.decision.once;

/** What a gate does with a request under an idempotency key. */
public enum KeyAction {
    /** Runs it: no request has run under the key, and no other gate may run one. */
    RUN,
    /** Waits for the answer of the execution that runs now. */
    JOIN,
    /** Answers with the stored answer. */
    REPLAY,
    /** Refuses: the key was used with another request. */
    MISMATCH,
    /** Refuses: a request may have run under the key, and its answer is not known here. */
    UNKNOWN,
    /** Refuses: the key says that it was created in the future. */
    TOO_EARLY,
    /** Refuses: no room to remember another key. */
    FULL,
    /** Refuses: another gate owns the slot of the key. */
    NOT_OWNER
}
