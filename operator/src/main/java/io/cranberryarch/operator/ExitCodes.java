package io.cranberryarch.operator;

/** Exit codes of the command line. */
public final class ExitCodes {

    /** Everything went well. */
    public static final int OK = 0;
    /** A request was refused or a check failed. */
    public static final int REFUSED = 1;
    /** The command line is wrong. */
    public static final int USAGE = 2;
    /** Another operator was faster. */
    public static final int CONFLICT = 3;
    /** The node or the platform cannot be reached. */
    public static final int UNREACHABLE = 4;

    private ExitCodes() {}
}
