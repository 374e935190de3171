package io.cranberryarch.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.operator.ExitCodes;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {

    private static final PrintStream OUT = System.out;
    private static final PrintStream ERR = System.err;

    @TempDir
    Path folder;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    @BeforeEach
    void capture() {
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        System.setOut(stream);
        System.setErr(stream);
    }

    @AfterEach
    void restore() {
        System.setOut(OUT);
        System.setErr(ERR);
    }

    @Test
    void helpListsEveryCommand() {
        assertEquals(ExitCodes.OK, Main.run("--help"));
        for (String command :
                new String[] {"node", "check", "settings", "account", "key", "route", "status", "drain"}) {
            assertTrue(text().contains("  " + command + " "), text());
        }
    }

    @Test
    void unknownCommandIsAUsageError() {
        assertEquals(ExitCodes.USAGE, Main.run("nothing"));
        assertTrue(text().contains("nothing"), text());
    }

    @Test
    void checkNamesEveryFault() throws Exception {
        Path file = Files.writeString(folder.resolve("node.ini"), "[node]\ninstance = UPPER\nslots = 0\n");
        assertEquals(ExitCodes.REFUSED, Main.run("check", file.toString()));
        assertTrue(text().contains(file + ":2: [node] instance: expected text matching"), text());
        assertTrue(text().contains(file + ":3: [node] slots: expected a whole number from 1 to"), text());
        assertTrue(text().contains("[fleet] secret: expected a value"), text());
    }

    @Test
    void nodeWithAMissingFileSaysSo() {
        assertEquals(
                ExitCodes.REFUSED, Main.run("check", folder.resolve("none.ini").toString()));
        assertTrue(text().contains("none.ini: cannot be read"), text());
    }

    @Test
    void unreachableNodeIsSaid() {
        int code = Main.run("status", "--node", "http://127.0.0.1:1", "--token", "t");
        assertEquals(ExitCodes.UNREACHABLE, code);
        assertTrue(text().contains("no answer from http://127.0.0.1:1"), text());
    }

    private String text() {
        return output.toString(StandardCharsets.UTF_8);
    }
}
