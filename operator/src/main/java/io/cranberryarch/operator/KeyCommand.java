package io.cranberryarch.operator;

import io.cranberryarch.api.EditBody;
import io.cranberryarch.api.KeysBody;
import io.cranberryarch.base.Digests;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Issues, lists and withdraws keys of client accounts. */
@Command(
        name = "key",
        description = "Issues, lists and withdraws keys of client accounts.",
        mixinStandardHelpOptions = true)
public final class KeyCommand {

    private static final int ID_BYTES = 6;
    private static final int SECRET_BYTES = 24;

    @Command(
            name = "issue",
            description = "Issues a key and prints it. It is shown only once.",
            mixinStandardHelpOptions = true)
    int issue(
            @Mixin NodeOptions node,
            @Option(names = "--team", required = true, description = "the team of the account") String team,
            @Parameters(paramLabel = "ACCOUNT") String account)
            throws CommandException {
        String id = "k" + Digests.randomHex(ID_BYTES);
        String secret = Digests.randomHex(SECRET_BYTES);
        try (AdminClient client = node.connect()) {
            String path = "/teams/" + team + "/keys/" + id;
            client.changeSettings(
                    client.readStatus().settingsVersion(),
                    List.of(
                            new EditBody(path + "/account", account),
                            new EditBody(path + "/sha256", Digests.toSha256Hex(secret))));
            System.out.println(id + "." + secret);
            return ExitCodes.OK;
        }
    }

    @Command(
            name = "list",
            description = "Prints the keys with their accounts, without their secrets.",
            mixinStandardHelpOptions = true)
    int list(@Mixin NodeOptions node) throws CommandException {
        try (AdminClient client = node.connect()) {
            for (KeysBody.KeyBody key : client.readKeys().keys()) {
                System.out.println(key.id() + " " + key.account() + (key.withdrawn() ? " withdrawn" : " in force"));
            }
            return ExitCodes.OK;
        }
    }

    @Command(
            name = "withdraw",
            description = "Withdraws a key permanently, also while the platform is down.",
            mixinStandardHelpOptions = true)
    int withdraw(
            @Mixin NodeOptions node,
            @Option(names = "--team", required = true, description = "the team of the account") String team,
            @Parameters(paramLabel = "KEY_ID") String keyId)
            throws CommandException {
        try (AdminClient client = node.connect()) {
            client.withdrawKey(keyId);
            System.out.println("withdrawn");
            String path = "/teams/" + team + "/keys/" + keyId;
            client.changeSettings(
                    client.readStatus().settingsVersion(),
                    List.of(new EditBody(path + "/account", null), new EditBody(path + "/sha256", null)));
            System.out.println("stored");
            return ExitCodes.OK;
        }
    }
}
