package io.cranberryarch.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The targets and weights of the owner's report, set under {@code /owner/report}.
 *
 * <pre>
 * /owner/report/targets/good-share = 0.999
 * /owner/report/weights/refusals-within-rate = 3
 * /owner/report/kinds/order = 5
 * /owner/report/zones/zone-a = 2
 * </pre>
 *
 * @param minGoodRatio the minimum ratio of complete answers, and of requests within the rate that are not refused, on a
 *     good day
 * @param maxRecoveryMinutes the maximum recovery time after overload on a good day, in minutes
 * @param refusalWeight the weight of refusals within the rate in the score
 * @param goodputWeight the weight of goodput in the score
 * @param recoveryWeight the weight of recovery time in the score
 * @param kinds the weights by kind of request, 1 for kinds that are not set, copied
 * @param zones the weights by availability zone, 1 for zones that are not set, copied
 */
public record ReportSettings(
        double minGoodRatio,
        double maxRecoveryMinutes,
        double refusalWeight,
        double goodputWeight,
        double recoveryWeight,
        Map<String, Double> kinds,
        Map<String, Double> zones) {

    /** The root path of these settings. */
    public static final String ROOT = "/owner/report";

    private static final double MAX_WEIGHT = 1_000;
    private static final double DEFAULT_MIN_GOOD_RATIO = 0.999;
    private static final double DEFAULT_MAX_RECOVERY_MINUTES = 1;
    private static final double DEFAULT_REFUSAL_WEIGHT = 3;
    private static final double DEFAULT_GOODPUT_WEIGHT = 2;

    /** Copies the maps. */
    public ReportSettings {
        kinds = Map.copyOf(kinds);
        zones = Map.copyOf(zones);
    }

    /**
     * Reads the settings of the report.
     *
     * @param values the values by path; paths outside of {@link #ROOT} are ignored
     * @return the settings
     * @throws SettingsException if settings are invalid; lists all faults
     */
    public static ReportSettings of(Map<String, String> values) throws SettingsException {
        List<String> faults = new ArrayList<>();
        ReportSettings settings = read(values, faults);
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        return settings;
    }

    static boolean isReportPath(String path) {
        return path.startsWith(ROOT + "/");
    }

    static ReportSettings read(Map<String, String> values, List<String> faults) {
        Map<String, Double> numbers = new HashMap<>();
        Map<String, Double> kinds = new HashMap<>();
        Map<String, Double> zones = new HashMap<>();
        for (Map.Entry<String, String> entry : values.entrySet()) {
            String path = entry.getKey();
            if (!isReportPath(path)) {
                continue;
            }
            String[] parts = path.substring(ROOT.length() + 1).split("/");
            double value = toNumber(path, entry.getValue(), faults);
            String group = parts.length == 2 ? parts[0] : "";
            switch (group) {
                case "kinds" -> kinds.put(parts[1], value);
                case "zones" -> zones.put(parts[1], value);
                case "targets", "weights" -> numbers.put(parts[0] + "/" + parts[1], value);
                default -> faults.add(path + ": expected " + ROOT + "/{targets|weights|kinds|zones}/NAME");
            }
        }
        ReportSettings settings = new ReportSettings(
                remove(numbers, "targets/good-share", DEFAULT_MIN_GOOD_RATIO),
                remove(numbers, "targets/recovery-minutes", DEFAULT_MAX_RECOVERY_MINUTES),
                remove(numbers, "weights/refusals-within-rate", DEFAULT_REFUSAL_WEIGHT),
                remove(numbers, "weights/goodput", DEFAULT_GOODPUT_WEIGHT),
                remove(numbers, "weights/recovery", 1),
                kinds,
                zones);
        numbers.keySet().forEach(name -> faults.add(ROOT + "/" + name + ": unknown setting"));
        if (settings.minGoodRatio > 1) {
            faults.add(ROOT + "/targets/good-share: expected a number from 0 to 1");
        }
        return settings;
    }

    private static double remove(Map<String, Double> numbers, String name, double fallback) {
        Double value = numbers.remove(name);
        return value == null ? fallback : value;
    }

    private static double toNumber(String path, String text, List<String> faults) {
        try {
            double value = Double.parseDouble(text);
            if (value >= 0 && value <= MAX_WEIGHT) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below together with numbers out of range.
        }
        faults.add(path + ": expected a number from 0 to " + MAX_WEIGHT + ", found '" + text + "'");
        return 0;
    }
}
