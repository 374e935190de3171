package io.cranberryarch.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.lang.reflect.Constructor;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class CommandHelpTest {

    /** Commands of the library, which have a help of their own. */
    private static final Set<String> LIBRARY_COMMANDS = Set.of("help", "generate-completion");

    @Test
    void everyCommandPrintsItsHelp() throws Exception {
        Constructor<Main> constructor = Main.class.getDeclaredConstructor();
        constructor.setAccessible(true);
        assertHelp(new CommandLine(constructor.newInstance()), new ArrayList<>());
    }

    private static void assertHelp(CommandLine command, List<String> path) {
        StringWriter out = new StringWriter();
        command.setOut(new PrintWriter(out));
        assertEquals(0, command.execute("--help"), path.toString());
        assertTrue(out.toString().contains("Usage:"), path.toString());
        assertTrue(out.toString().contains("--help"), path.toString());
        command.getSubcommands().forEach((name, subcommand) -> {
            if (!LIBRARY_COMMANDS.contains(name)) {
                List<String> subPath = new ArrayList<>(path);
                subPath.add(name);
                assertHelp(subcommand, subPath);
            }
        });
    }
}
