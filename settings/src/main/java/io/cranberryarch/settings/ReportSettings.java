package io.cranberryarch.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the owner's report weighs, set under {@code /owner/report}.
 *
 * <pre>
 * /owner/report/targets/good-share = 0.999
 * /owner/report/weights/refusals-within-rate = 3
 * /owner/report/kinds/order = 5
 * /owner/report/zones/zone-a = 2
 * </pre>
 *
 * @param minGoodRatio the least share of whole answers and of requests not refused within the rate on a good day
 * @param maxRecoveryMinutes the longest recovery after overload on a good day, in minutes
 * @param refusalWeight the weight of refusals within rate in the score
 * @param goodputWeight the weight of goodput in the score
 * @param recoveryWeight the weight of recovery time in the score
 * @param kinds the weight of each kind of request, 1 if not set
 * @param zones the weight of each availability zone, 1 if not set
 */
public record ReportSettings(
        double minGoodRatio,
        double maxRecoveryMinutes,
        double refusalWeight,
        double goodputWeight,
        double recoveryWeight,
        Map<String, Double> kinds,
        Map<String, Double> zones) {

    /** The root of these settings. */
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
     * Reads the settings.
     *
     * @param values values by path; paths outside of {@link #ROOT} are ignored
     * @return the settings
     * @throws SettingsException listing every fault
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
                take(numbers, "targets/good-share", DEFAULT_MIN_GOOD_RATIO),
                take(numbers, "targets/recovery-minutes", DEFAULT_MAX_RECOVERY_MINUTES),
                take(numbers, "weights/refusals-within-rate", DEFAULT_REFUSAL_WEIGHT),
                take(numbers, "weights/goodput", DEFAULT_GOODPUT_WEIGHT),
                take(numbers, "weights/recovery", 1),
                kinds,
                zones);
        numbers.keySet().forEach(name -> faults.add(ROOT + "/" + name + ": unknown setting"));
        if (settings.minGoodRatio > 1) {
            faults.add(ROOT + "/targets/good-share: expected a number from 0 to 1");
        }
        return settings;
    }

    private static double take(Map<String, Double> numbers, String name, double fallback) {
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
