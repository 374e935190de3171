package io.cranberryarch.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints the log lines of a request from the logs of nodes, with a description of its outcome. */
@Command(
        name = "explain",
        description = "Shows from the logs of nodes what happened to a request, and why.",
        mixinStandardHelpOptions = true)
public final class ExplainCommand implements Callable<Integer> {

    @Parameters(index = "0", paramLabel = "REQUEST-ID", description = "the identifier of the request")
    private String requestId;

    @Parameters(index = "1..*", paramLabel = "FILE", description = "logs, one for each node; standard input if none")
    private List<Path> files = new ArrayList<>();

    @Override
    public Integer call() throws IOException {
        RequestTrace trace = new RequestTrace(requestId);
        if (!LogFiles.read(files, trace::add)) {
            return ExitCodes.REFUSED;
        }
        if (trace.isEmpty()) {
            System.err.println("no line about request " + requestId + "; ordinary successes are not logged,"
                    + " and the event log-left-out reports lines over the limit");
            return ExitCodes.REFUSED;
        }
        System.out.print(trace.toText());
        return ExitCodes.OK;
    }
}
