package io.cranberryarch.experiment.serving;

import io.cranberryarch.experiment.serving.ServingScenario.CallSpec;
import io.cranberryarch.experiment.serving.ServingScenario.FaultSpec;
import io.cranberryarch.experiment.serving.ServingScenario.FleetSpec;
import io.cranberryarch.experiment.serving.ServingScenario.RequestSpec;
import io.cranberryarch.experiment.serving.ServingScenario.ServiceSpec;
import io.cranberryarch.settings.IniFile;
import io.cranberryarch.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads scenarios from INI files, see docs/EXPERIMENT.md. */
final class ScenarioReader {

    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
    private static final String NUMBERS = "\\d+(\\.\\d+)?(\\s*,\\s*\\d+(\\.\\d+)?)*";
    private static final String CALL = NAME + "(:\\d{1,3})?";
    private static final String CALLS = "(" + CALL + "(\\s*,\\s*" + CALL + ")*)?";
    private static final int MAX_COUNT = 10_000;
    private static final double MAX_NUMBER = 10_000_000;
    private static final double MS_PER_S = 1_000;

    private final IniFile ini;

    private ScenarioReader(IniFile ini) {
        this.ini = ini;
    }

    /**
     * Reads a scenario.
     *
     * @param file the file, not {@code null}
     * @return the scenario
     * @throws IOException if the file cannot be read
     * @throws SettingsException if values are invalid; lists each with its section, key, line and allowed values
     */
    static ServingScenario read(Path file) throws IOException, SettingsException {
        ScenarioReader reader = new ScenarioReader(IniFile.read(file));
        String name = file.getFileName().toString().replaceFirst("\\.[^.]*$", "");
        Map<String, ServiceSpec> services = reader.readServices();
        ServingScenario scenario = new ServingScenario(
                name, reader.readFleet(), services, reader.readRequests(), reader.readFaults(services.keySet()));
        reader.checkReferences(scenario);
        reader.ini.rejectUnknown();
        reader.ini.throwFaults();
        return scenario;
    }

    private FleetSpec readFleet() {
        return new FleetSpec(
                ini.readInt("fleet", "zones", Optional.of(1), 1, MAX_COUNT),
                readNumber("fleet", "zone-delay-ms", Optional.of(1.0)),
                readNumber("fleet", "caller-delay-ms", Optional.of(3.0)),
                Math.round(readNumber("fleet", "length-s", Optional.of(20.0)) * MS_PER_S),
                ini.readInt("fleet", "status-interval-ms", Optional.of(600), 1, MAX_COUNT),
                readNumber("fleet", "repeat-ratio", Optional.of(0.2)),
                readNumber("fleet", "repeat-slack", Optional.of(50.0)));
    }

    private Map<String, ServiceSpec> readServices() {
        Map<String, ServiceSpec> services = new LinkedHashMap<>();
        for (String name : ini.findSections("service")) {
            String section = "service " + name;
            services.put(
                    name,
                    new ServiceSpec(
                            name,
                            ini.readInt(section, "instances", Optional.empty(), 1, MAX_COUNT),
                            ini.readInt(section, "slots", Optional.empty(), 1, MAX_COUNT),
                            readNumbers(section, "speeds")));
        }
        return services;
    }

    private List<Double> readNumbers(String section, String key) {
        String text = ini.readText(section, key, Optional.of("1"), NUMBERS);
        List<Double> numbers = new ArrayList<>();
        for (String number : text.matches(NUMBERS) ? text.split(",") : new String[] {"1"}) {
            numbers.add(Double.valueOf(number.strip()));
        }
        return numbers;
    }

    private Map<String, RequestSpec> readRequests() {
        Map<String, RequestSpec> requests = new LinkedHashMap<>();
        for (String name : ini.findSections("request")) {
            String section = "request " + name;
            requests.put(
                    name,
                    new RequestSpec(
                            name,
                            ini.readText(section, "service", Optional.empty(), NAME),
                            readNumber(section, "per-s", Optional.of(0.0)),
                            ini.readInt(section, "rank", Optional.of(0), 0, MAX_COUNT),
                            ini.readChoice(section, "idempotent", "yes", List.of("yes", "no"))
                                    .equals("yes"),
                            readNumber(section, "work-ms", Optional.empty()),
                            Math.round(readNumber(section, "objective-ms", Optional.of(1_000.0))),
                            Math.round(readNumber(section, "timeout-ms", Optional.of(3_000.0))),
                            readNumber(section, "worth", Optional.of(1.0)),
                            readNumber(section, "late-worth", Optional.of(0.3)),
                            ini.readInt(section, "retries", Optional.of(1), 0, MAX_COUNT),
                            ini.readInt(section, "attempt-limit", Optional.of(2), 1, MAX_COUNT),
                            readCalls(section)));
        }
        return requests;
    }

    private List<CallSpec> readCalls(String section) {
        String text = ini.readText(section, "calls", Optional.of(""), CALLS);
        if (text.isBlank() || !text.matches(CALLS)) {
            return List.of();
        }
        return Arrays.stream(text.split(","))
                .map(call -> call.strip().split(":"))
                .map(parts -> new CallSpec(parts[0], parts.length == 1 ? 1 : Integer.parseInt(parts[1])))
                .toList();
    }

    private List<FaultSpec> readFaults(Set<String> services) {
        List<FaultSpec> faults = new ArrayList<>();
        List<String> kinds =
                Arrays.stream(FaultKind.values()).map(FaultKind::toText).toList();
        for (String name : ini.findSections("fault")) {
            String section = "fault " + name;
            String kind = ini.readChoice(section, "kind", kinds.get(0), kinds);
            String service = ini.readOptional(section, "service", NAME).orElse("");
            if (!service.isEmpty() && !services.contains(service)) {
                ini.addFault(section, "service", "the name of a service section");
            }
            faults.add(new FaultSpec(
                    FaultKind.values()[Math.max(0, kinds.indexOf(kind))],
                    Math.round(readNumber(section, "at-s", Optional.empty()) * MS_PER_S),
                    Math.round(readNumber(section, "for-s", Optional.empty()) * MS_PER_S),
                    service,
                    readNumber(section, "share", Optional.of(1.0)),
                    readNumber(section, "strength", Optional.empty())));
        }
        return faults;
    }

    private double readNumber(String section, String key, Optional<Double> fallback) {
        return ini.readDecimal(section, key, fallback, MAX_NUMBER);
    }

    /** Adds a fault for each name of a service or request that the file does not define, and for calls in a circle. */
    private void checkReferences(ServingScenario scenario) {
        for (RequestSpec request : scenario.requests().values()) {
            String section = "request " + request.name();
            if (!scenario.services().containsKey(request.service())) {
                ini.addFault(section, "service", "the name of a service section");
            }
            if (!hasValidCalls(scenario, request, scenario.requests().size())) {
                ini.addFault(section, "calls", "names of request sections that do not call each other in a circle");
            }
        }
        if (scenario.toCallerRequests().isEmpty()) {
            ini.addFault("fleet", "length-s", "a request section with per-s above 0 in the file");
        }
    }

    private static boolean hasValidCalls(ServingScenario scenario, RequestSpec request, int maxDepth) {
        for (CallSpec call : request.calls()) {
            RequestSpec nested = scenario.requests().get(call.request());
            if (nested == null || maxDepth == 0 || !hasValidCalls(scenario, nested, maxDepth - 1)) {
                return false;
            }
        }
        return true;
    }
}
