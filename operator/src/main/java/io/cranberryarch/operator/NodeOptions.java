package io.cranberryarch.operator;

import java.net.URI;
import picocli.CommandLine.Option;

/** The options for the address of a node and the operator's token. */
final class NodeOptions {

    @Option(
            names = "--node",
            required = true,
            defaultValue = "${env:CRANBERRYARCH_NODE}",
            description = "administration address of any node; default: $CRANBERRYARCH_NODE")
    private URI node;

    @Option(
            names = "--token",
            required = true,
            defaultValue = "${env:CRANBERRYARCH_TOKEN}",
            description = "the operator's token, preferably set as $CRANBERRYARCH_TOKEN")
    private String token;

    AdminClient connect() throws CommandException {
        return new AdminClient(node, token);
    }
}
