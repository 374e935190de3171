package io.cranberryarch.operator.report;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.settings.ReportSettings;
import java.util.List;
import java.util.Map;

/** Weighs refusals within rate, goodput and recovery time as the owner's settings say. */
final class ScoreCalculator {

    private final ReportSettings settings;

    ScoreCalculator(ReportSettings settings) {
        this.settings = settings;
    }

    double compute(List<CountsBody.Row> rows, List<OverloadPeriod> overloads) {
        double weights = settings.refusalWeight() + settings.goodputWeight() + settings.recoveryWeight();
        if (weights == 0) {
            return 0;
        }
        double sum = settings.refusalWeight() * toAcceptedRatio(rows)
                + settings.goodputWeight() * toMeanGoodput(rows)
                + settings.recoveryWeight() * toRecoveryScore(overloads);
        return sum / weights;
    }

    /** The share of requests due that were not refused. */
    private static double toAcceptedRatio(List<CountsBody.Row> rows) {
        OutcomeCounts all = new OutcomeCounts();
        rows.forEach(row -> all.add(row.outcome(), row.count()));
        return 1 - OutcomeCounts.toRatio(all.getRefusedWithinRate(), Math.max(1, all.getDue()));
    }

    /** The mean goodput over kinds and availability zones, by their weights. */
    private double toMeanGoodput(List<CountsBody.Row> rows) {
        double sum = 0;
        double weights = 0;
        for (Map.Entry<String, OutcomeCounts> entry :
                DayReport.group(rows, row -> row.kind() + "\n" + row.zone()).entrySet()) {
            if (entry.getValue().getDue() == 0) {
                continue;
            }
            String[] kindAndZone = entry.getKey().split("\n", -1);
            double weight = settings.kinds().getOrDefault(kindAndZone[0], 1.0)
                    * settings.zones().getOrDefault(kindAndZone[1], 1.0);
            sum += weight * entry.getValue().toGoodput();
            weights += weight;
        }
        return weights == 0 ? 1 : sum / weights;
    }

    /** The target over the longestMinutes recovery, at most 1. */
    private double toRecoveryScore(List<OverloadPeriod> overloads) {
        int longestMinutes = overloads.stream()
                .mapToInt(OverloadPeriod::toDurationMinutes)
                .max()
                .orElse(0);
        return longestMinutes <= settings.maxRecoveryMinutes() ? 1 : settings.maxRecoveryMinutes() / longestMinutes;
    }
}
