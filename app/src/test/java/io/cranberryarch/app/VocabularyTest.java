package io.cranberryarch.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Names of the hosted platform are known to the adapter only. */
class VocabularyTest {

    private static final Pattern PLATFORM_TERMS = Pattern.compile("X-Cranberryarch-|\\brows-(tx|get|feed|parts)\\b"
            + "|\\bblob-(put|get|list|drop)\\b|schemaVer|heartbeatAddr|coldLeftS|weightedServices|non_idempotent"
            + "|maxAttempts|targetLatencyS|ratePerS\"|apiKeys|deregister\"|heartbeat\"|listen\\.outbound|appAddr"
            + "|\\btenants?\\b|\\bsidecars?\\b|\\bback ?ends?\\b");

    @Test
    void onlyThePlatformModuleUsesTermsOfThePlatform() throws IOException {
        Path root = Path.of("").toAbsolutePath().getParent();
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(root)) {
            for (Path file : (Iterable<Path>) files.filter(VocabularyTest::isCheckedSource)::iterator) {
                Matcher matcher = PLATFORM_TERMS.matcher(Files.readString(file, StandardCharsets.UTF_8));
                while (matcher.find()) {
                    found.add(root.relativize(file) + ": " + matcher.group());
                }
            }
        }
        assertEquals(List.of(), found);
    }

    private static boolean isCheckedSource(Path file) {
        String path = file.toString().replace('\\', '/');
        return path.endsWith(".java") && path.contains("/src/main/") && !path.contains("/platform/src/");
    }
}
