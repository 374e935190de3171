package io.cranberryarch.experiment.serving;

import io.cranberryarch.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/** Runs the shipped scenarios on a few fixed seeds. */
final class ScenarioFixture {

    private static final Path FOLDER = Path.of("..", "config", "scenarios");
    private static final int SEEDS = 4;

    private ScenarioFixture() {}

    static List<ServingResults> run(String name, Mechanism... without) throws IOException, SettingsException {
        ServingScenario scenario = ScenarioReader.read(FOLDER.resolve(name + ".ini"));
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> ModelFleet.run(scenario, seed, Set.of(without)))
                .toList();
    }

    static double mean(List<ServingResults> runs, ToDoubleFunction<ServingResults> value) {
        return runs.stream().mapToDouble(value).average().orElseThrow();
    }
}
