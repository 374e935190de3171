package io.cranberryarch.operator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows from the logs of nodes what happened to a request. */
@Command(name = "explain", description = "Shows from the logs of nodes what happened to a request, and why.")
public final class ExplainCommand implements Callable<Integer> {

    @Parameters(index = "0", paramLabel = "REQUEST-ID", description = "the identifier of the request")
    private String requestId;

    @Parameters(index = "1..*", paramLabel = "FILE", description = "logs, one for each node; standard input if none")
    private List<Path> files = new ArrayList<>();

    @Override
    public Integer call() throws IOException {
        RequestTrace trace = new RequestTrace(requestId);
        if (files.isEmpty()) {
            addLines("-", new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)), trace);
        }
        for (Path file : files) {
            if (!Files.isReadable(file)) {
                System.err.println(file + ": cannot be read");
                return ExitCodes.REFUSED;
            }
            try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
                addLines(file.getFileName().toString(), reader, trace);
            }
        }
        if (trace.isEmpty()) {
            System.err.println("no line about request " + requestId + "; ordinary successes are not logged,"
                    + " and the event log-left-out tells of lines over the limit");
            return ExitCodes.REFUSED;
        }
        System.out.print(trace.toText());
        return ExitCodes.OK;
    }

    private static void addLines(String source, BufferedReader reader, RequestTrace trace) throws IOException {
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            trace.add(source, line);
        }
    }
}
