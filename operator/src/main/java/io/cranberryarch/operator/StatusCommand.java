package io.cranberryarch.operator;

import io.cranberryarch.api.StatusBody;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Prints the state of a node and its view of the members. */
@Command(
        name = "status",
        description = "Prints the state of a node and its view of the members.",
        mixinStandardHelpOptions = true)
public final class StatusCommand implements Callable<Integer> {

    @Mixin
    private NodeOptions node;

    @Override
    public Integer call() throws CommandException {
        try (AdminClient client = node.connect()) {
            print(client.readStatus());
            return ExitCodes.OK;
        }
    }

    static void print(StatusBody status) {
        System.out.println("instance          " + status.instance() + " (" + status.incarnation() + ")");
        System.out.println("availability zone " + status.zone());
        System.out.println("service           " + status.service());
        System.out.println("state             " + status.state());
        System.out.println("settings version  " + status.settingsVersion());
        System.out.println("platform          " + (status.platformReachable() ? "reachable" : "unreachable"));
        System.out.println("in flight         " + status.inFlight() + " of " + status.limit());
        for (StatusBody.MemberBody member : status.members()) {
            System.out.println("member            " + member.instance() + " " + member.zone() + " " + member.service()
                    + " " + member.state() + " " + member.address());
        }
    }
}
