package io.cranberryarch.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Reads and validates the INI file of a node.
 *
 * <pre>
 * NodeConfig config = NodeConfigReader.read(Path.of("node.ini"));
 * </pre>
 */
public final class NodeConfigReader {

    private static final int MAX_PORT = 65_535;
    private static final int MAX_SLOTS = 100_000;
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final int DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
    private static final int MAX_PLATFORM_TIMEOUT_MS = 60_000;
    private static final int DEFAULT_PLATFORM_TIMEOUT_MS = 1_000;
    private static final int MIN_SECRET_LENGTH = 16;
    private static final String NAME_PATTERN = "[a-z0-9][a-z0-9.-]{0,62}";
    private static final List<String> LOG_LEVELS = List.of("trace", "debug", "info", "warn", "error");

    private NodeConfigReader() {}

    /**
     * Reads the settings from a file.
     *
     * @param file the INI file, not {@code null}
     * @return the settings
     * @throws IOException if the file cannot be read
     * @throws SettingsException if settings are invalid; lists each with its section, key, line and allowed values
     */
    public static NodeConfig read(Path file) throws IOException, SettingsException {
        IniFile ini = IniFile.read(file);
        NodeConfig config = new NodeConfig(
                ini.readText("node", "instance", Optional.empty(), NAME_PATTERN),
                ini.readText("node", "zone", Optional.empty(), NAME_PATTERN),
                ini.readText("node", "service", Optional.empty(), NAME_PATTERN),
                ini.readInt("node", "slots", Optional.empty(), 1, MAX_SLOTS),
                ini.readText("listen", "host", Optional.of("127.0.0.1"), "[0-9a-fA-F.:]+"),
                ini.readInt("listen", "entry-port", Optional.empty(), 0, MAX_PORT),
                ini.readInt("listen", "local-port", Optional.empty(), 0, MAX_PORT),
                ini.readInt("listen", "peer-port", Optional.empty(), 0, MAX_PORT),
                ini.readInt("listen", "admin-port", Optional.empty(), 0, MAX_PORT),
                ini.readUri("platform", "url"),
                ini.readInt(
                        "platform", "timeout-ms", Optional.of(DEFAULT_PLATFORM_TIMEOUT_MS), 1, MAX_PLATFORM_TIMEOUT_MS),
                ini.readUri("upstream", "url"),
                ini.readText("fleet", "secret", Optional.empty(), ".{" + MIN_SECRET_LENGTH + ",}"),
                ini.readNames("fleet", "zones", NAME_PATTERN),
                ini.readAddresses("fleet", "seeds"),
                ini.readOptional("operators", "owner-token-sha256", "[0-9a-f]{64}"),
                ini.readInt("limits", "max-body-bytes", Optional.of(DEFAULT_MAX_BODY_BYTES), 1, MAX_BODY_BYTES),
                ini.readChoice("log", "level", "info", LOG_LEVELS));
        ini.rejectUnknown();
        if (!config.zones().isEmpty() && !config.zones().contains(config.zone())) {
            ini.addFault("node", "zone", "one of the zones of [fleet] zones " + config.zones());
        }
        ini.throwFaults();
        return config;
    }
}
