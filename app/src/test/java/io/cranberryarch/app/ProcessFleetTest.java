package io.cranberryarch.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ProcessFleetTest {

    @Test
    void incompleteReadyLineIsIgnored() {
        assertEquals("", ProcessFleet.parseReadyLine(""));
        assertEquals("", ProcessFleet.parseReadyLine("ready entry=41"));
        assertEquals("entry=4100 local=4101", ProcessFleet.parseReadyLine("ready entry=4100 local=4101\n"));
        assertEquals("entry=4100", ProcessFleet.parseReadyLine("version 1\nready entry=4100\nmore"));
        assertEquals("", ProcessFleet.parseReadyLine("already here\n"));
    }
}
