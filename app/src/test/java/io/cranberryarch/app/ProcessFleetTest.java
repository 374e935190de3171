package io.cranberryarch.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ProcessFleetTest {

    @Test
    void readyLineCountsOnlyOnceItIsWhole() {
        assertEquals("", ProcessFleet.findReady(""));
        assertEquals("", ProcessFleet.findReady("ready entry=41"));
        assertEquals("entry=4100 local=4101", ProcessFleet.findReady("ready entry=4100 local=4101\n"));
        assertEquals("entry=4100", ProcessFleet.findReady("version 1\nready entry=4100\nmore"));
        assertEquals("", ProcessFleet.findReady("already here\n"));
    }
}
