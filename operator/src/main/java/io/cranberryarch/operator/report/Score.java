package io.cranberryarch.operator.report;

import io.cranberryarch.api.CountsBody;
import io.cranberryarch.settings.ReportSettings;
import java.util.List;
import java.util.Map;

/** Weighs refusals within rate, goodput and recovery time as the owner's settings say. */
final class Score {

    private final ReportSettings settings;

    Score(ReportSettings settings) {
        this.settings = settings;
    }

    double compute(List<CountsBody.Row> rows, List<Overload> overloads) {
        double weights = settings.refusalWeight() + settings.goodputWeight() + settings.recoveryWeight();
        if (weights == 0) {
            return 0;
        }
        double sum = settings.refusalWeight() * toAccepted(rows)
                + settings.goodputWeight() * toGoodput(rows)
                + settings.recoveryWeight() * toRecovery(overloads);
        return sum / weights;
    }

    /** The share of requests due that were not refused. */
    private static double toAccepted(List<CountsBody.Row> rows) {
        Tally all = new Tally();
        rows.forEach(row -> all.add(row.outcome(), row.count()));
        return 1 - Tally.toShare(all.getRefusedWithinRate(), Math.max(1, all.getDue()));
    }

    /** The mean goodput over kinds and availability zones, by their weights. */
    private double toGoodput(List<CountsBody.Row> rows) {
        double sum = 0;
        double weights = 0;
        for (Map.Entry<String, Tally> entry :
                DayReport.group(rows, row -> row.kind() + "\n" + row.zone()).entrySet()) {
            if (entry.getValue().getDue() == 0) {
                continue;
            }
            String[] names = entry.getKey().split("\n", -1);
            double weight = settings.kinds().getOrDefault(names[0], 1.0)
                    * settings.zones().getOrDefault(names[1], 1.0);
            sum += weight * entry.getValue().toGoodput();
            weights += weight;
        }
        return weights == 0 ? 1 : sum / weights;
    }

    /** The target over the longest recovery, at most 1. */
    private double toRecovery(List<Overload> overloads) {
        int longest = overloads.stream().mapToInt(Overload::toMinutes).max().orElse(0);
        return longest <= settings.maxRecoveryMinutes() ? 1 : settings.maxRecoveryMinutes() / longest;
    }
}
