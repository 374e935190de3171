package io.cranberryarch.mesh;

/** Header names for tests. */
final class TestNames {

    static final HeaderNames NAMES = new HeaderNames(
            "Test-Request",
            "Test-Timeout",
            "Test-Account",
            "Test-Caller",
            "Test-Expected",
            "Test-Instance",
            "Test-Stamp",
            "Test-Not-Executed");

    private TestNames() {}
}
