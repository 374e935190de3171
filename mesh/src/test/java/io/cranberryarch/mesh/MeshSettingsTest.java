package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MeshSettingsTest {

    private static final String LISTEN =
            "peers = 10.0.0.1:7000, ready = 10.0.0.1:2, control = 10.0.0.1:3, " + "metrics = 10.0.0.1:4, entry = ";

    @TempDir
    Path folder;

    private MeshSettings read(String entry, String... more) throws IOException, SettingsException {
        String text = String.join(
                "\n",
                "[node]",
                "name = a",
                "zone = zone-a",
                "service = stock",
                "[listen]",
                (LISTEN + entry).replace(", ", "\n"),
                "[upstream]",
                "address = 10.0.0.1:9",
                "[store]",
                "address = 10.0.0.2:80",
                String.join("\n", more));
        return MeshSettings.read(Files.writeString(folder.resolve("node.ini"), text));
    }

    @Test
    void appliesDefaultsToMissingKeys() throws Exception {
        MeshSettings settings = read("10.0.0.1:1");
        assertEquals(50, settings.logLinesPerS());
        assertEquals(List.of(), settings.seeds());
        assertEquals(6_000, settings.stopGraceMs());
    }

    @Test
    void rejectsAddressUnreachableForOtherNodes() {
        SettingsException failure = assertThrows(SettingsException.class, () -> read("0.0.0.0:1"));
        assertTrue(failure.getMessage().contains("wildcard"), failure.getMessage());
        assertThrows(SettingsException.class, () -> read("0.0.0.0:0"));
    }

    @Test
    void reportsUnknownKeysAndOutOfRangeNumbersTogether() {
        SettingsException failure = assertThrows(
                SettingsException.class, () -> read("10.0.0.1:1", "[log]", "lines-per-s = 0", "level = 3"));
        assertTrue(failure.getMessage().contains("lines-per-s"), failure.getMessage());
        assertTrue(failure.getMessage().contains("level"), failure.getMessage());
    }

    @Test
    void acceptsNumbersWithAllDecimalsAndExponentsOfThePlatform() throws Exception {
        MeshSettings settings =
                read("10.0.0.1:1", "[repeats]", "slack = 20.612244897959183", "ratio = 2e-1", "[rates]", "excess = ");
        assertEquals(20.612244897959183, settings.repeatSlack());
        assertEquals(0.2, settings.repeatRatio());
        assertEquals(20, settings.quotaExcess());
    }

    @Test
    void rejectsNumbersThatAreNegativeOrMalformedWithTheirLine() {
        SettingsException failure = assertThrows(
                SettingsException.class, () -> read("10.0.0.1:1", "[repeats]", "slack = -1", "ratio = 0.2x"));
        assertEquals(2, failure.getFaults().size(), failure.getMessage());
        assertTrue(failure.getMessage().contains("node.ini:16: [repeats] slack"), failure.getMessage());
    }
}
