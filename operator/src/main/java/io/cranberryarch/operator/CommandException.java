package io.cranberryarch.operator;

import java.util.List;

/** Thrown when a command has invalid arguments or was refused, or the node or the platform is not available. */
public final class CommandException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int exitCode;
    private final List<String> details;

    /**
     * Creates an exception.
     *
     * @param exitCode the exit code for the command line
     * @param reason the reason, which is the message
     * @param details one sentence for each fault, not {@code null}
     */
    public CommandException(int exitCode, String reason, List<String> details) {
        super(reason);
        this.exitCode = exitCode;
        this.details = List.copyOf(details);
    }

    /**
     * Returns the exit code for the command line.
     *
     * @return the exit code
     */
    public int getExitCode() {
        return exitCode;
    }

    /**
     * Returns the faults that caused the failure.
     *
     * @return one sentence for each fault, not modifiable
     */
    public List<String> getDetails() {
        return details;
    }
}
