package io.cranberryarch.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class NodeConfigReaderTest {

    private static final String VALID = """
            [node]
            instance = orders1
            zone = zone-a
            service = orders
            slots = 100

            [listen]
            entry-port = 0
            local-port = 0
            peer-port = 0
            admin-port = 0

            [platform]
            url = http://127.0.0.1:9000

            [upstream]
            url = http://127.0.0.1:9001

            [fleet]
            secret = a-secret-for-the-tests
            zones = zone-a, zone-b
            seeds = 127.0.0.1:7000, 127.0.0.1:7001
            """;

    @TempDir
    Path folder;

    @Test
    void validFileIsRead() throws Exception {
        NodeConfig config = NodeConfigReader.read(write(VALID));
        assertEquals("orders1", config.instance());
        assertEquals(List.of("zone-a", "zone-b"), config.zones());
        assertEquals(2, config.seeds().size());
    }

    @Test
    void everyFaultReportsFileLineSectionKeyAndAllowedValues() throws Exception {
        String invalid = VALID.replace("slots = 100", "slots = many").replace("peer-port = 0", "peer-prot = 0");
        Path file = write(invalid);
        SettingsException e = assertThrows(SettingsException.class, () -> NodeConfigReader.read(file));
        assertEquals(
                List.of(
                        file + ":5: [node] slots: expected a whole number from 1 to 100000, found 'many'",
                        file + ":7: [listen] peer-port: expected a value, the key is required",
                        file + ":10: [listen] peer-prot: unknown key"),
                e.getFaults());
    }

    @Test
    void secretIsNotPrinted() throws Exception {
        Path file = write(VALID.replace("a-secret-for-the-tests", "short"));
        SettingsException e = assertThrows(SettingsException.class, () -> NodeConfigReader.read(file));
        assertTrue(!e.getMessage().contains("short"), e.getMessage());
    }

    private Path write(String text) throws Exception {
        return Files.writeString(folder.resolve("node.ini"), text);
    }
}
