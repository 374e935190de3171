package io.cranberryarch.app;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ArchiveTrainingTest {

    /** Refused requests do not load the classes that serve requests, which the class archive would then lack. */
    @Test
    void mostRequestsAreServed() throws Exception {
        int served = new ArchiveTraining().serve();
        assertTrue(served > 200, served + " of 400 requests served");
    }
}
