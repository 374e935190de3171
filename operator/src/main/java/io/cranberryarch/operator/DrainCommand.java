package io.cranberryarch.operator;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Takes a node out of service. */
@Command(name = "drain", description = "Stops new work for the upstream of a node; requests in progress go on.")
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
