package io.cranberryarch.experiment.serving;

import java.util.Locale;

/** The kinds of fault that the model can inject. */
enum FaultKind {

    /** Callers send more requests, by a factor. */
    BURST,

    /** Callers send a failed or refused request again at once, up to the given number of times. */
    RETRY_STORM,

    /** Instances reject requests without running them, with the given probability. */
    REJECT,

    /** Instances take longer, by a factor. */
    SLOW,

    /** Instances run requests whose answers are lost, with the given probability. */
    LOSE_ANSWERS;

    /** Returns the name as written in scenario files. */
    String toText() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
