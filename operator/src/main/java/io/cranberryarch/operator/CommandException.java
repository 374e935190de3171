package io.cranberryarch.operator;

import java.util.List;

/** Thrown when a request of an operator is refused, or what it asks cannot be reached. */
public final class CommandException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int exitCode;
    private final List<String> details;

    /**
     * Creates a failure.
     *
     * @param exitCode the exit code for the command line
     * @param reason a short word for what failed
     * @param details one sentence for each fault
     */
    public CommandException(int exitCode, String reason, List<String> details) {
        super(reason);
        this.exitCode = exitCode;
        this.details = List.copyOf(details);
    }

    /**
     * Gets the exit code for the command line.
     *
     * @return the exit code
     */
    public int getExitCode() {
        return exitCode;
    }

    /**
     * Gets what was wrong.
     *
     * @return one sentence for each fault
     */
    public List<String> getDetails() {
        return details;
    }
}
