package io.cranberryarch.operator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiConsumer;

/** Reads the lines of log files, or of standard input. */
final class LogFiles {

    private LogFiles() {}

    /**
     * Passes each line of the files to a consumer. A file that cannot be read is reported on standard error.
     *
     * @param files the files, empty for standard input
     * @param consumer receives the name of the file and the line
     * @return whether all files could be read
     * @throws IOException if reading fails
     */
    static boolean read(List<Path> files, BiConsumer<String, String> consumer) throws IOException {
        if (files.isEmpty()) {
            addLines("-", new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)), consumer);
        }
        for (Path file : files) {
            if (!Files.isReadable(file)) {
                System.err.println(file + ": cannot be read");
                return false;
            }
            try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
                addLines(file.getFileName().toString(), reader, consumer);
            }
        }
        return true;
    }

    private static void addLines(String source, BufferedReader reader, BiConsumer<String, String> consumer)
            throws IOException {
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            consumer.accept(source, line);
        }
    }
}
