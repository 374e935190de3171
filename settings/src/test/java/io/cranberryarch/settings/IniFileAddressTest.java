package io.cranberryarch.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class IniFileAddressTest {

    @Test
    void numericAddressesAreRead() {
        for (String text : List.of("10.0.0.1:80", "255.255.255.255:65535", "0.0.0.0:0")) {
            assertEquals(text, IniFile.toText(IniFile.toAddress(text).orElseThrow()));
        }
        InetSocketAddress loopback = IniFile.toAddress("[::1]:80").orElseThrow();
        assertTrue(loopback.getAddress().isLoopbackAddress());
    }

    /** Guards against a look-up of names, which blocks, and against addresses to which nothing can connect. */
    @Test
    void otherTextsAreNoAddress() {
        for (String text : List.of(
                "",
                ":80",
                "80",
                "10.0.0.1",
                "feed:80",
                "999.1.1.1:80",
                "10.0.0:80",
                "10.0.0.1.1:80",
                "1:2:80",
                "[::1:80",
                "1:2:3:4:5:6:7:8:9:80",
                "10.0.0.1:65536",
                "10.0.0.1:-1",
                "localhost:80")) {
            assertFalse(IniFile.toAddress(text).isPresent(), text);
        }
    }
}
