package io.cranberryarch.operator;

import io.cranberryarch.settings.NodeConfigReader;
import io.cranberryarch.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Validates the INI file of a node and prints every fault. */
@Command(
        name = "check",
        description = "Validates the INI file of a node and lists every fault.",
        mixinStandardHelpOptions = true)
public final class CheckCommand implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", description = "the INI file")
    private Path file;

    @Override
    public Integer call() {
        try {
            NodeConfigReader.read(file);
            System.out.println(file + ": valid");
            return ExitCodes.OK;
        } catch (SettingsException e) {
            e.getFaults().forEach(System.err::println);
            return ExitCodes.REFUSED;
        } catch (IOException e) {
            System.err.println(file + ": cannot be read: " + e.getMessage());
            return ExitCodes.REFUSED;
        }
    }
}
