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
    private static final int DEFAULT_BODY_BYTES = 1024 * 1024;
    private static final int MAX_PLATFORM_TIMEOUT_MS = 60_000;
    private static final int DEFAULT_PLATFORM_TIMEOUT_MS = 1_000;
    private static final int MIN_SECRET_LENGTH = 16;
    private static final String NAME = "[a-z0-9][a-z0-9.-]{0,62}";
    private static final List<String> LEVELS = List.of("trace", "debug", "info", "warn", "error");

    private NodeConfigReader() {}

    /**
     * Reads a file.
     *
     * @param file the INI file, not {@code null}
     * @return the settings
     * @throws IOException if the file cannot be read
     * @throws SettingsException listing every fault with its section, key, line and what is allowed
     */
    public static NodeConfig read(Path file) throws IOException, SettingsException {
        IniFile ini = IniFile.read(file);
        NodeConfig config = new NodeConfig(
                ini.takeText("node", "instance", Optional.empty(), NAME),
                ini.takeText("node", "zone", Optional.empty(), NAME),
                ini.takeText("node", "service", Optional.empty(), NAME),
                ini.takeInt("node", "slots", Optional.empty(), 1, MAX_SLOTS),
                ini.takeText("listen", "host", Optional.of("127.0.0.1"), "[0-9a-fA-F.:]+"),
                ini.takeInt("listen", "entry-port", Optional.empty(), 0, MAX_PORT),
                ini.takeInt("listen", "local-port", Optional.empty(), 0, MAX_PORT),
                ini.takeInt("listen", "peer-port", Optional.empty(), 0, MAX_PORT),
                ini.takeInt("listen", "admin-port", Optional.empty(), 0, MAX_PORT),
                ini.takeUri("platform", "url"),
                ini.takeInt(
                        "platform", "timeout-ms", Optional.of(DEFAULT_PLATFORM_TIMEOUT_MS), 1, MAX_PLATFORM_TIMEOUT_MS),
                ini.takeUri("upstream", "url"),
                ini.takeText("fleet", "secret", Optional.empty(), ".{" + MIN_SECRET_LENGTH + ",}"),
                ini.takeNames("fleet", "zones", NAME),
                ini.takeAddresses("fleet", "seeds"),
                ini.takeOptional("operators", "owner-token-sha256", "[0-9a-f]{64}"),
                ini.takeInt("limits", "max-body-bytes", Optional.of(DEFAULT_BODY_BYTES), 1, MAX_BODY_BYTES),
                ini.takeChoice("log", "level", "info", LEVELS));
        ini.rejectUnknown();
        if (!config.zones().isEmpty() && !config.zones().contains(config.zone())) {
            ini.addFault("node", "zone", "one of the zones of [fleet] zones " + config.zones());
        }
        ini.throwFaults();
        return config;
    }
}
