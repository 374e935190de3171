package io.cranberryarch.operator;

/** Exit codes of the command line. */
public final class ExitCodes {

    /** The command succeeded. */
    public static final int OK = 0;
    /** A request was refused or a check failed. */
    public static final int REFUSED = 1;
    /** The command line or the INI file of the node is invalid. */
    public static final int USAGE = 2;
    /** The change conflicts with a change that was made before, or the resource already exists. */
    public static final int CONFLICT = 3;
    /** The node or the platform is not available, or the command was interrupted. */
    public static final int UNREACHABLE = 4;

    private ExitCodes() {}
}
