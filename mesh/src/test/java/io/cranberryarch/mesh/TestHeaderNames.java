package io.cranberryarch.mesh;

/** Header names for tests. */
final class TestHeaderNames {

    static final HeaderNames NAMES = new HeaderNames(
            "Test-Request",
            "Test-Timeout",
            "Test-Account",
            "Test-Caller",
            "Test-Expected",
            "Test-Instance",
            "Test-Stamp",
            "Test-Not-Executed",
            "Test-Rate-Limit",
            "Test-Leaving",
            ".");

    private TestHeaderNames() {}
}
