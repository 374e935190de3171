package io.cranberryarch.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Pattern;

/** Converts a settings tree to its typed view and collects all faults. */
final class FleetSettingsReader {

    private static final double MAX_RATE_PER_SECOND = 1_000_000;
    private static final long MAX_TIMEOUT_MS = 600_000;
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    private final SettingTree tree;
    private final List<String> faults = new ArrayList<>();
    private final Map<String, ClientAccount> accounts = new HashMap<>();
    private final Map<String, AccountKey> keys = new HashMap<>();
    private final Map<String, OperatorGrant> operators = new HashMap<>();
    private final Map<String, Route> routes = new HashMap<>();

    FleetSettingsReader(SettingTree tree) {
        this.tree = tree;
    }

    FleetSettings read() throws SettingsException {
        for (Map.Entry<ObjectId, Map<String, String>> entry : groupByObject().entrySet()) {
            readObject(entry.getKey(), entry.getValue());
        }
        for (AccountKey key : keys.values()) {
            if (!accounts.containsKey(key.account())) {
                faults.add("key '" + key.id() + "': client account '" + key.account() + "' does not exist");
            }
        }
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        return new FleetSettings(tree.getVersion(), accounts, keys, operators, List.copyOf(routes.values()));
    }

    private Map<ObjectId, Map<String, String>> groupByObject() {
        Map<ObjectId, Map<String, String>> objects = new TreeMap<>();
        ReportSettings.read(tree.getValues(), faults);
        for (Map.Entry<String, String> entry : tree.getValues().entrySet()) {
            if (ReportSettings.isReportPath(entry.getKey())) {
                continue;
            }
            String[] parts = entry.getKey().substring(1).split("/");
            if (parts.length != 5 || !parts[0].equals("teams")) {
                faults.add(entry.getKey() + ": expected /teams/TEAM/{accounts|keys|operators|routes}/NAME/FIELD");
                continue;
            }
            ObjectId id = new ObjectId(parts[1], parts[2], parts[3]);
            objects.computeIfAbsent(id, key -> new TreeMap<>()).put(parts[4], entry.getValue());
        }
        return objects;
    }

    private void readObject(ObjectId id, Map<String, String> fields) {
        ObjectFields values = new ObjectFields(id.toPath(), new TreeMap<>(fields));
        switch (id.type()) {
            case "accounts" -> readAccount(id, values);
            case "keys" -> readKey(id, values);
            case "operators" -> readOperator(id, values);
            case "routes" -> readRoute(id, values);
            default -> faults.add(id.toPath() + ": expected accounts, keys, operators or routes");
        }
    }

    private void readAccount(ObjectId id, ObjectFields fields) {
        double rate = fields.readNumber("rate", Optional.empty(), 0, MAX_RATE_PER_SECOND);
        double burst = fields.readNumber("burst", Optional.empty(), 1, MAX_RATE_PER_SECOND);
        double weight = fields.readNumber("weight", Optional.of(1.0), 0.01, 1_000);
        fields.rejectUnknown();
        putUnique(accounts, id, id.name(), new ClientAccount(id.name(), id.team(), rate, burst, weight));
    }

    private void readKey(ObjectId id, ObjectFields fields) {
        String account = fields.read("account", Optional.empty());
        String hash = fields.read("sha256", Optional.empty());
        if (!SHA256.matcher(hash).matches()) {
            faults.add(id.toPath() + "/sha256: expected 64 hexadecimal digits");
        }
        fields.rejectUnknown();
        ClientAccount owner = accounts.get(account);
        if (owner != null && !owner.team().equals(id.team())) {
            faults.add(id.toPath() + "/account: client account '" + account + "' belongs to another team");
        }
        putUnique(keys, id, id.name(), new AccountKey(id.name(), account, hash));
    }

    private void readOperator(ObjectId id, ObjectFields fields) {
        String hash = fields.read("sha256", Optional.empty());
        if (!SHA256.matcher(hash).matches()) {
            faults.add(id.toPath() + "/sha256: expected 64 hexadecimal digits");
        }
        fields.rejectUnknown();
        putUnique(operators, id, hash, new OperatorGrant(id.team() + "/" + id.name(), Optional.of(id.team())));
    }

    private void readRoute(ObjectId id, ObjectFields fields) {
        String prefix = fields.read("prefix", Optional.empty());
        if (!prefix.startsWith("/")) {
            faults.add(id.toPath() + "/prefix: expected a path that starts with '/', found '" + prefix + "'");
        }
        String service = fields.read("service", Optional.empty());
        String kind = fields.read("kind", Optional.of(id.name()));
        Priority priority = fields.readPriority("priority", Priority.NORMAL);
        boolean idempotent = fields.readBoolean("idempotent", false);
        boolean open = fields.readBoolean("open", false);
        double timeoutMs =
                fields.readNumber("timeout-ms", Optional.of((double) Route.DEFAULT_TIMEOUT_MS), 1, MAX_TIMEOUT_MS);
        fields.rejectUnknown();
        for (Route other : routes.values()) {
            if (other.prefix().equals(prefix)) {
                faults.add(id.toPath() + "/prefix: '" + prefix + "' is already used by route '" + other.name() + "'");
            }
        }
        Route route = new Route(id.name(), prefix, service, kind, priority, idempotent, open, (long) timeoutMs);
        putUnique(routes, id, id.name(), route);
    }

    private <T> void putUnique(Map<String, T> map, ObjectId id, String key, T value) {
        if (map.putIfAbsent(key, value) != null) {
            faults.add(id.toPath() + ": '" + id.name() + "' already exists in another team");
        }
    }

    /** Identifies the account, key, operator or route that a path belongs to. */
    private record ObjectId(String team, String type, String name) implements Comparable<ObjectId> {

        String toPath() {
            return "/teams/" + team + "/" + type + "/" + name;
        }

        @Override
        public int compareTo(ObjectId other) {
            int order = type.compareTo(other.type);
            return order != 0 ? order : toPath().compareTo(other.toPath());
        }
    }

    /** The fields of one object. Reading a field removes it, so that the remaining fields are unknown ones. */
    private final class ObjectFields {

        private final String path;
        private final Map<String, String> values;

        ObjectFields(String path, Map<String, String> values) {
            this.path = path;
            this.values = values;
        }

        String read(String field, Optional<String> fallback) {
            String value = values.remove(field);
            if (value != null) {
                return value;
            }
            if (fallback.isEmpty()) {
                faults.add(path + "/" + field + ": missing");
            }
            return fallback.orElse("");
        }

        double readNumber(String field, Optional<Double> fallback, double min, double max) {
            String text = read(field, fallback.map(String::valueOf));
            if (text.isEmpty()) {
                return min;
            }
            try {
                double value = Double.parseDouble(text);
                if (value >= min && value <= max) {
                    return value;
                }
            } catch (NumberFormatException e) {
                // Reported below together with numbers out of range.
            }
            faults.add(
                    path + "/" + field + ": expected a number from " + min + " to " + max + ", found '" + text + "'");
            return min;
        }

        boolean readBoolean(String field, boolean fallback) {
            String text = read(field, Optional.of(String.valueOf(fallback)));
            if (!text.equals("true") && !text.equals("false")) {
                faults.add(path + "/" + field + ": expected true or false, found '" + text + "'");
            }
            return text.equals("true");
        }

        Priority readPriority(String field, Priority fallback) {
            String text = read(field, Optional.of(fallback.toText()));
            Optional<Priority> priority = Priority.of(text);
            if (priority.isEmpty()) {
                faults.add(path + "/" + field + ": expected critical, high, normal or low, found '" + text + "'");
            }
            return priority.orElse(fallback);
        }

        void rejectUnknown() {
            for (String field : values.keySet()) {
                faults.add(path + "/" + field + ": unknown field");
            }
        }
    }
}
