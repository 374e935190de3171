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

    private static final PrintStream ORIGINAL_OUT = System.out;
    private static final PrintStream ORIGINAL_ERR = System.err;

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
        System.setOut(ORIGINAL_OUT);
        System.setErr(ORIGINAL_ERR);
    }

    @Test
    void helpListsEveryCommand() {
        assertEquals(ExitCodes.OK, Main.run("--help"));
        for (String command :
                new String[] {"node", "check", "settings", "account", "key", "route", "status", "drain"}) {
            assertTrue(outputText().contains("  " + command + " "), outputText());
        }
    }

    @Test
    void unknownCommandIsAUsageError() {
        assertEquals(ExitCodes.USAGE, Main.run("nothing"));
        assertTrue(outputText().contains("nothing"), outputText());
    }

    @Test
    void checkListsEveryFault() throws Exception {
        Path file = Files.writeString(folder.resolve("node.ini"), "[node]\ninstance = UPPER\nslots = 0\n");
        assertEquals(ExitCodes.REFUSED, Main.run("check", file.toString()));
        assertTrue(outputText().contains(file + ":2: [node] instance: expected text matching"), outputText());
        assertTrue(outputText().contains(file + ":3: [node] slots: expected a whole number from 1 to"), outputText());
        assertTrue(outputText().contains("[fleet] secret: expected a value"), outputText());
    }

    @Test
    void missingFileIsReported() {
        assertEquals(
                ExitCodes.REFUSED, Main.run("check", folder.resolve("none.ini").toString()));
        assertTrue(outputText().contains("none.ini: cannot be read"), outputText());
    }

    @Test
    void unreachableNodeIsReported() {
        int code = Main.run("status", "--node", "http://127.0.0.1:1", "--token", "t");
        assertEquals(ExitCodes.UNREACHABLE, code);
        assertTrue(outputText().contains("no answer from http://127.0.0.1:1"), outputText());
    }

    private String outputText() {
        return output.toString(StandardCharsets.UTF_8);
    }
}
