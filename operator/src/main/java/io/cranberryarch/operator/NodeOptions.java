package io.cranberryarch.operator;

import java.net.URI;
import picocli.CommandLine.Option;

/** The options that name a node and the operator. */
final class NodeOptions {

    @Option(
            names = "--node",
            required = true,
            defaultValue = "${env:CRANBERRYARCH_NODE}",
            description = "administration address of any node, else $CRANBERRYARCH_NODE")
    private URI node;

    @Option(
            names = "--token",
            required = true,
            defaultValue = "${env:CRANBERRYARCH_TOKEN}",
            description = "the operator's token, better given as $CRANBERRYARCH_TOKEN")
    private String token;

    AdminClient connect() throws CommandException {
        return new AdminClient(node, token);
    }
}
