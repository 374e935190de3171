package io.cranberryarch.standin;

import org.eclipse.jetty.util.Fields;

/**
 * The faults that a platform stand-in injects.
 *
 * @param isDown whether every request is answered with an error
 * @param delayMs the delay before each request is handled, in milliseconds
 * @param isAnswerLost whether requests take effect but their answers are dropped
 */
public record PlatformFaults(boolean isDown, long delayMs, boolean isAnswerLost) {

    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, false);

    static PlatformFaults of(Fields query) {
        String delay = query.getValue("delay-ms");
        return new PlatformFaults(
                "true".equals(query.getValue("down")),
                delay == null ? 0 : Long.parseLong(delay),
                "true".equals(query.getValue("lose-answers")));
    }
}
