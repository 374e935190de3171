package io.cranberryarch.experiment.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.experiment.ExperimentCommand;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class RunCommandTest {

    private static final String SCENARIO = """
            [fleet]
            length-s = 5
            [service stock]
            instances = 2
            slots = 4
            [request read]
            service = stock
            per-s = 20
            work-ms = 20
            """;

    @TempDir
    Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter errors = new StringWriter();

    private int run(String... arguments) {
        return new CommandLine(new ExperimentCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(errors))
                .execute(arguments);
    }

    @Test
    void printsOneLineForEachKindOfRequestAndMechanism() throws Exception {
        Path file = Files.writeString(folder.resolve("calm.ini"), SCENARIO);
        assertEquals(0, run("run", file.toString(), "--seeds", "2", "--ablation"));
        assertTrue(out.toString().contains("scenario calm, 2 seeds"), out.toString());
        assertTrue(out.toString().contains("read "), out.toString());
        for (Mechanism mechanism : Mechanism.values()) {
            assertTrue(out.toString().contains("without " + mechanism.toText()), mechanism.toText());
        }
    }

    @Test
    void sameSeedGivesTheSameResults() throws Exception {
        Path file = Files.writeString(folder.resolve("calm.ini"), SCENARIO);
        run("run", file.toString(), "--seeds", "3");
        String first = out.toString();
        out.getBuffer().setLength(0);
        run("run", file.toString(), "--seeds", "3");
        assertEquals(first, out.toString());
    }

    @Test
    void unknownMechanismIsRejectedWithTheChoices() {
        assertEquals(2, run("run", "any.ini", "--without", "luck"));
        assertTrue(errors.toString().contains("rank-queue"), errors.toString());
    }

    @Test
    void numberOfSeedsIsChecked() {
        assertEquals(2, run("run", "any.ini", "--seeds", "0"));
        assertTrue(errors.toString().contains("--seeds: expected at least 1"), errors.toString());
    }

    @Test
    void helpIsPrinted() {
        assertEquals(0, run("run", "--help"));
        assertTrue(out.toString().contains("--ablation"), out.toString());
        assertEquals(0, run("--help"));
    }
}
