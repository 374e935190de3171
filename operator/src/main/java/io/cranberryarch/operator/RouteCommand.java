package io.cranberryarch.operator;

import io.cranberryarch.api.ChangeBody;
import io.cranberryarch.api.EditBody;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Creates and lists routes. */
@Command(name = "route", description = "Creates and lists routes.", mixinStandardHelpOptions = true)
public final class RouteCommand {

    @Command(name = "create", description = "Creates or replaces a route.", mixinStandardHelpOptions = true)
    int create(
            @Mixin NodeOptions node,
            @Option(names = "--team", required = true, description = "the team that owns it") String team,
            @Option(names = "--prefix", required = true, description = "the path prefix") String prefix,
            @Option(names = "--service", required = true, description = "the service that serves it") String service,
            @Option(names = "--kind", description = "the kind of request; default: the name") String kind,
            @Option(names = "--priority", defaultValue = "normal", description = "critical, high, normal or low")
                    String priority,
            @Option(names = "--idempotent", description = "requests may run more than once") boolean idempotent,
            @Option(names = "--open", description = "callers need no key") boolean open,
            @Parameters(paramLabel = "NAME") String name)
            throws CommandException {
        try (AdminClient client = node.connect()) {
            String path = "/teams/" + team + "/routes/" + name;
            List<EditBody> edits = new ArrayList<>();
            edits.add(new EditBody(path + "/prefix", prefix));
            edits.add(new EditBody(path + "/service", service));
            edits.add(new EditBody(path + "/kind", kind == null ? name : kind));
            edits.add(new EditBody(path + "/priority", priority));
            edits.add(new EditBody(path + "/idempotent", String.valueOf(idempotent)));
            edits.add(new EditBody(path + "/open", String.valueOf(open)));
            ChangeBody change = client.changeSettings(client.readStatus().settingsVersion(), edits);
            System.out.println("version " + change.version());
            return ExitCodes.OK;
        }
    }

    @Command(name = "list", description = "Lists the routes of a team.", mixinStandardHelpOptions = true)
    int list(@Mixin NodeOptions node, @Option(names = "--team", required = true) String team) throws CommandException {
        try (AdminClient client = node.connect()) {
            client.readSettings("/teams/" + team + "/routes")
                    .values()
                    .forEach((key, value) -> System.out.println(key + " = " + value));
            return ExitCodes.OK;
        }
    }
}
