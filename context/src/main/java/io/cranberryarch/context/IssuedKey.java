package io.cranberryarch.context;

import io.cranberryarch.base.Digests;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;

/**
 * An idempotency key that a node issued. It identifies the only process that may run its request.
 *
 * <p>The text ends with a message authentication code over its fields and the client account, so that a key can
 * neither be forged nor used by another account.
 *
 * <pre>
 * String text = key.toText(secret, "acme");
 * IssuedKey.parse(secret, "acme", text); // Optional of an equal key
 * </pre>
 *
 * @param service the service whose upstream runs the request
 * @param instance the instance of the service
 * @param incarnation the incarnation of the instance's node
 * @param issuedAtMs the wall-clock time of issue in milliseconds since 1970
 * @param nonce random text that makes the key unique
 */
public record IssuedKey(String service, String instance, long incarnation, long issuedAtMs, String nonce) {

    private static final String SEPARATOR = "~";
    private static final String PREFIX = "issued1" + SEPARATOR;
    private static final int FIELD_COUNT = 7;
    private static final int MAC_BYTES = 16;

    /**
     * Checks whether a text has the prefix of an issued key. Such a text is never treated as a key of the caller.
     *
     * @param text the idempotency key, not {@code null}
     * @return whether the text starts with the prefix of issued keys
     */
    public static boolean isIssued(String text) {
        return text.startsWith(PREFIX);
    }

    /**
     * Parses and verifies a key.
     *
     * @param secret the secret of the fleet, not empty
     * @param account the client account of the request
     * @param text the idempotency key, not {@code null}
     * @return the key, or empty if it was not issued for the account by a node of this fleet
     */
    public static Optional<IssuedKey> parse(byte[] secret, String account, String text) {
        String[] parts = text.split(SEPARATOR, FIELD_COUNT + 1);
        if (!isIssued(text) || parts.length != FIELD_COUNT) {
            return Optional.empty();
        }
        try {
            IssuedKey key =
                    new IssuedKey(parts[1], parts[2], Long.parseLong(parts[3]), Long.parseLong(parts[4]), parts[5]);
            byte[] mac = HexFormat.of().parseHex(parts[6]);
            return Digests.isEqual(mac, key.toMac(secret, account)) ? Optional.of(key) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the text of the key with its message authentication code.
     *
     * @param secret the secret of the fleet, not empty
     * @param account the client account that may use the key
     * @return the text for the header
     */
    public String toText(byte[] secret, String account) {
        return toFields() + SEPARATOR + HexFormat.of().formatHex(toMac(secret, account));
    }

    private String toFields() {
        return PREFIX
                + String.join(
                        SEPARATOR, service, instance, String.valueOf(incarnation), String.valueOf(issuedAtMs), nonce);
    }

    private byte[] toMac(byte[] secret, String account) {
        byte[] data = (toFields() + SEPARATOR + account).getBytes(StandardCharsets.UTF_8);
        return Arrays.copyOf(Digests.toHmac(secret, data), MAC_BYTES);
    }
}
