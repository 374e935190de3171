package io.cranberryarch.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints which requests were not served, from the logs of nodes. */
@Command(
        name = "losses",
        mixinStandardHelpOptions = true,
        description = {
            "Shows from the logs of nodes which requests were not served, when, at which service and why.",
            "Example: cranberryarch losses --interval-s 2 all.log"
        })
public final class LossesCommand implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", description = "logs of nodes; standard input if none")
    private List<Path> files = new ArrayList<>();

    @Option(names = "--interval-s", description = "the length of an interval in seconds; default ${DEFAULT-VALUE}")
    private long intervalS = 10;

    /** Creates a command. */
    public LossesCommand() {}

    @Override
    public Integer call() throws IOException {
        if (intervalS < 1) {
            System.err.println("--interval-s: expected at least 1, found " + intervalS);
            return ExitCodes.REFUSED;
        }
        LossTable table = new LossTable(intervalS);
        if (!LogFiles.read(files, table::add)) {
            return ExitCodes.REFUSED;
        }
        System.out.print(table.toText());
        return ExitCodes.OK;
    }
}
