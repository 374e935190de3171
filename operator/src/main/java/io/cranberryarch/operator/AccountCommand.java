package io.cranberryarch.operator;

import io.cranberryarch.api.ChangeBody;
import io.cranberryarch.api.EditBody;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Creates and lists client accounts. */
@Command(name = "account", description = "Creates and lists client accounts.", mixinStandardHelpOptions = true)
public final class AccountCommand {

    @Command(name = "create", description = "Creates a client account.", mixinStandardHelpOptions = true)
    int create(
            @Mixin NodeOptions node,
            @Option(names = "--team", required = true, description = "the team that owns it") String team,
            @Option(names = "--rate", required = true, description = "requests per second over the fleet") double rate,
            @Option(names = "--burst", required = true, description = "burst in requests over the fleet") double burst,
            @Option(names = "--weight", defaultValue = "1", description = "relative share of an overloaded upstream")
                    double weight,
            @Parameters(paramLabel = "NAME") String name)
            throws CommandException {
        try (AdminClient client = node.connect()) {
            String path = "/teams/" + team + "/accounts/" + name;
            if (!client.readSettings(path).values().isEmpty()) {
                throw new CommandException(ExitCodes.CONFLICT, "conflict", List.of(name + " already exists"));
            }
            ChangeBody change = client.changeSettings(
                    client.readStatus().settingsVersion(),
                    List.of(
                            new EditBody(path + "/rate", String.valueOf(rate)),
                            new EditBody(path + "/burst", String.valueOf(burst)),
                            new EditBody(path + "/weight", String.valueOf(weight))));
            System.out.println("version " + change.version());
            return ExitCodes.OK;
        }
    }

    @Command(name = "list", description = "Lists the client accounts of a team.", mixinStandardHelpOptions = true)
    int list(@Mixin NodeOptions node, @Option(names = "--team", required = true) String team) throws CommandException {
        try (AdminClient client = node.connect()) {
            Map<String, String> values =
                    client.readSettings("/teams/" + team + "/accounts").values();
            values.forEach((key, value) -> System.out.println(key + " = " + value));
            return ExitCodes.OK;
        }
    }
}
