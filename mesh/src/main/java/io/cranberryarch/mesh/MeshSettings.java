package io.cranberryarch.mesh;

import io.cranberryarch.settings.IniFile;
import io.cranberryarch.settings.SettingsException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The settings of a node on a hosted platform, read from its INI file.
 *
 * @param node the name of the node
 * @param zone the availability zone of the node
 * @param service the service of the upstream on the node's machine
 * @param entry the address for callers and for calls of the upstream
 * @param peers the address for other nodes
 * @param ready the address for readiness checks by the platform
 * @param control the address for reports of the upstream
 * @param metrics the address of the metrics
 * @param upstream the address of the upstream
 * @param reportIntervalMs the interval of the upstream's reports, in milliseconds
 * @param store the address of the platform's store
 * @param seeds the addresses of the nodes to contact first, may be empty
 * @param stopGraceMs the time from SIGTERM to SIGKILL, in milliseconds
 * @param repeatRatio the ratio of repeated sends to first sends, over the fleet
 * @param repeatSlack the number of repeated sends allowed beyond the ratio, over the fleet and one window
 * @param quotaWindowMs the window over which rates of client accounts are enforced, in milliseconds
 * @param quotaExcessRatio the tolerated excess over a rate, as a ratio of the rate
 * @param quotaExcess the tolerated excess over a rate, in requests
 * @param logLinesPerS the maximum number of log lines about requests per second
 */
public record MeshSettings(
        String node,
        String zone,
        String service,
        InetSocketAddress entry,
        InetSocketAddress peers,
        InetSocketAddress ready,
        InetSocketAddress control,
        InetSocketAddress metrics,
        InetSocketAddress upstream,
        long reportIntervalMs,
        InetSocketAddress store,
        List<InetSocketAddress> seeds,
        long stopGraceMs,
        double repeatRatio,
        double repeatSlack,
        long quotaWindowMs,
        double quotaExcessRatio,
        double quotaExcess,
        int logLinesPerS) {

    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
    private static final double MAX_NUMBER = 999_999_999;
    private static final int MAX_LOG_LINES_PER_S = 100_000;
    private static final int MS_PER_S = 1_000;

    /** Copies the list. */
    public MeshSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Reads the settings from a file.
     *
     * @param file the INI file, not {@code null}
     * @return the settings
     * @throws IOException if the file cannot be read
     * @throws SettingsException if settings are invalid; lists each with its section, key, line and allowed values
     */
    public static MeshSettings read(Path file) throws IOException, SettingsException {
        IniFile ini = IniFile.read(file);
        MeshSettings settings = new MeshSettings(
                ini.readText("node", "name", Optional.empty(), NAME),
                ini.readText("node", "zone", Optional.empty(), NAME),
                ini.readText("node", "service", Optional.empty(), NAME),
                ini.readReachableAddress("listen", "entry"),
                ini.readReachableAddress("listen", "peers"),
                ini.readAddress("listen", "ready"),
                ini.readAddress("listen", "control"),
                ini.readAddress("listen", "metrics"),
                ini.readAddress("upstream", "address"),
                Math.round(readNumber(ini, "upstream", "report-interval-s", 1.5) * MS_PER_S),
                ini.readAddress("store", "address"),
                ini.readAddresses("peers", "seeds"),
                Math.round(readNumber(ini, "stop", "grace-s", 6) * MS_PER_S),
                readNumber(ini, "repeats", "ratio", 0.2),
                readNumber(ini, "repeats", "slack", 50),
                Math.round(readNumber(ini, "rates", "window-s", 5) * MS_PER_S),
                readNumber(ini, "rates", "excess-ratio", 0.1),
                readNumber(ini, "rates", "excess", 20),
                ini.readInt("log", "lines-per-s", Optional.of(50), 1, MAX_LOG_LINES_PER_S));
        ini.rejectUnknown();
        ini.throwFaults();
        return settings;
    }

    private static double readNumber(IniFile ini, String section, String key, double fallback) {
        return ini.readDecimal(section, key, Optional.of(fallback), MAX_NUMBER);
    }
}
