package io.cranberryarch.app;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ArchiveTrainingTest {

    /** Requests that are refused would leave the classes out that serve requests. */
    @Test
    void mostRequestsAreServed() throws Exception {
        int served = new ArchiveTraining().serve();
        assertTrue(served > 200, served + " of 400 requests served");
    }
}
