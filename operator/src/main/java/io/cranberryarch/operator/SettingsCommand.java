package io.cranberryarch.operator;

import io.cranberryarch.api.ChangeBody;
import io.cranberryarch.api.EditBody;
import io.cranberryarch.api.SettingsBody;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Reads and changes the shared settings by path. */
@Command(
        name = "settings",
        description = "Reads and changes the shared settings by path.",
        mixinStandardHelpOptions = true)
public final class SettingsCommand {

    @Command(name = "get", description = "Prints one value.", mixinStandardHelpOptions = true)
    int get(@Mixin NodeOptions node, @Parameters(paramLabel = "PATH") String path) throws CommandException {
        try (AdminClient client = node.connect()) {
            String value = client.readSettings(path).values().get(path);
            if (value == null) {
                throw new CommandException(ExitCodes.REFUSED, "not-set", List.of(path + " is not set"));
            }
            System.out.println(value);
            return ExitCodes.OK;
        }
    }

    @Command(name = "list", description = "Prints all values of a subtree.", mixinStandardHelpOptions = true)
    int list(@Mixin NodeOptions node, @Parameters(paramLabel = "PATH", defaultValue = "/") String path)
            throws CommandException {
        try (AdminClient client = node.connect()) {
            SettingsBody body = client.readSettings(path);
            System.out.println("# version " + body.version());
            body.values().forEach((key, value) -> System.out.println(key + " = " + value));
            return ExitCodes.OK;
        }
    }

    @Command(
            name = "set",
            description = "Sets values as PATH=VALUE, or removes a path given as PATH= .",
            mixinStandardHelpOptions = true)
    int set(
            @Mixin NodeOptions node,
            @Option(names = "--base", description = "the version that the change is based on; default: the latest")
                    Long base,
            @Parameters(paramLabel = "PATH=VALUE", arity = "1..*") List<String> assignments)
            throws CommandException {
        try (AdminClient client = node.connect()) {
            long version = base == null ? client.readStatus().settingsVersion() : base;
            ChangeBody change = client.changeSettings(version, parseEdits(assignments));
            System.out.println("version " + change.version());
            return ExitCodes.OK;
        }
    }

    @Command(
            name = "history",
            description = "Prints the changes of a subtree, newest last.",
            mixinStandardHelpOptions = true)
    int history(@Mixin NodeOptions node, @Parameters(paramLabel = "PATH", defaultValue = "/") String path)
            throws CommandException {
        try (AdminClient client = node.connect()) {
            for (ChangeBody change : client.readHistory(path).changes()) {
                System.out.println("version " + change.version() + " by " + change.author());
                for (EditBody edit : change.edits()) {
                    System.out.println("  " + edit.path() + (edit.value() == null ? " removed" : " = " + edit.value()));
                }
            }
            return ExitCodes.OK;
        }
    }

    @Command(name = "diff", description = "Prints what changed after a version.", mixinStandardHelpOptions = true)
    int diff(
            @Mixin NodeOptions node,
            @Option(names = "--since", required = true, description = "the version to compare with") long since,
            @Parameters(paramLabel = "PATH", defaultValue = "/") String path)
            throws CommandException {
        try (AdminClient client = node.connect()) {
            SortedMap<String, String> before = new TreeMap<>();
            SortedMap<String, String> after = new TreeMap<>();
            for (ChangeBody change : client.readHistory(path).changes()) {
                SortedMap<String, String> target = change.version() <= since ? before : after;
                change.edits().forEach(edit -> target.put(edit.path(), edit.value() == null ? "" : edit.value()));
            }
            for (String key : new TreeSet<>(after.keySet())) {
                System.out.println(key + ": '" + before.getOrDefault(key, "") + "' -> '" + after.get(key) + "'");
            }
            return ExitCodes.OK;
        }
    }

    private static List<EditBody> parseEdits(List<String> assignments) throws CommandException {
        List<EditBody> edits = new ArrayList<>();
        for (String assignment : assignments) {
            int separator = assignment.indexOf('=');
            if (separator < 1) {
                throw new CommandException(
                        ExitCodes.USAGE, "bad-argument", List.of("expected PATH=VALUE: " + assignment));
            }
            String value = assignment.substring(separator + 1);
            edits.add(new EditBody(assignment.substring(0, separator), value.isEmpty() ? null : value));
        }
        return edits;
    }
}
