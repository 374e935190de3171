package io.cranberryarch.operator;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Drains a node, which takes it out of service. */
@Command(
        name = "drain",
        description = "Stops new requests to the upstream of a node; requests in progress are completed.",
        mixinStandardHelpOptions = true)
public final class DrainCommand implements Callable<Integer> {

    @Mixin
    private NodeOptions node;

    @Override
    public Integer call() throws CommandException {
        try (AdminClient client = node.connect()) {
            StatusCommand.print(client.drain());
            return ExitCodes.OK;
        }
    }
}
