package io.cranberryarch.experiment.serving;

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

class ScenarioReaderTest {

    @TempDir
    Path folder;

    private ServingScenario read(String... lines) throws IOException, SettingsException {
        return ScenarioReader.read(Files.writeString(folder.resolve("small.ini"), String.join("\n", lines)));
    }

    @Test
    void readsServicesRequestsAndFaults() throws Exception {
        ServingScenario scenario = read(
                "[service stock]",
                "instances = 2",
                "slots = 10",
                "speeds = 0.5, 2",
                "[request read]",
                "service = stock",
                "per-s = 5",
                "work-ms = 20",
                "calls = level:3",
                "[request level]",
                "service = stock",
                "work-ms = 1",
                "[fault one]",
                "kind = retry-storm",
                "at-s = 1.5",
                "for-s = 2",
                "strength = 3");
        assertEquals("small", scenario.name());
        assertEquals(List.of(0.5, 2.0), scenario.services().get("stock").speeds());
        assertEquals(
                List.of(new ServingScenario.CallSpec("level", 3)),
                scenario.requests().get("read").calls());
        assertEquals(FaultKind.RETRY_STORM, scenario.faults().get(0).kind());
        assertEquals(1_500, scenario.faults().get(0).atMs());
    }

    @Test
    void reportsAllFaultsWithTheirLines() {
        SettingsException failure = assertThrows(
                SettingsException.class,
                () -> read(
                        "[service stock]",
                        "instances = 0",
                        "slots = 10",
                        "[request read]",
                        "service = shop",
                        "per-s = 5",
                        "work-ms = fast",
                        "colour = red"));
        assertTrue(failure.getMessage().contains("small.ini:2: [service stock] instances"), failure.getMessage());
        assertTrue(failure.getMessage().contains("small.ini:5: [request read] service"), failure.getMessage());
        assertTrue(failure.getMessage().contains("small.ini:7: [request read] work-ms"), failure.getMessage());
        assertTrue(failure.getMessage().contains("small.ini:8: [request read] colour"), failure.getMessage());
    }

    @Test
    void reportsUnknownServiceOfAFault() {
        SettingsException failure = assertThrows(
                SettingsException.class,
                () -> read(
                        "[service stock]",
                        "instances = 1",
                        "slots = 1",
                        "[request read]",
                        "service = stock",
                        "per-s = 1",
                        "work-ms = 1",
                        "[fault one]",
                        "kind = slow",
                        "at-s = 1",
                        "for-s = 1",
                        "service = shop",
                        "strength = 2"));
        assertEquals(1, failure.getFaults().size(), failure.getMessage());
        assertTrue(failure.getMessage().contains("small.ini:12: [fault one] service"), failure.getMessage());
    }

    @Test
    void rejectsRequestsThatCallEachOtherInACircle() {
        SettingsException failure = assertThrows(
                SettingsException.class,
                () -> read(
                        "[service stock]",
                        "instances = 1",
                        "slots = 1",
                        "[request read]",
                        "service = stock",
                        "per-s = 1",
                        "work-ms = 1",
                        "calls = read"));
        assertTrue(failure.getMessage().contains("circle"), failure.getMessage());
    }
}
