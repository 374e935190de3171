package io.cranberryarch.context;

import io.cranberryarch.base.Digests;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Issues and verifies the tokens that an upstream sends with its nested calls.
 *
 * <p>A token identifies a call that is running at this node. The node stores the context, deadline and retry budget of
 * the call itself, so that the upstream can neither forge nor extend them, and a token is useless after its call ended.
 *
 * <pre>
 * CallTokenIssuer issuer = new CallTokenIssuer(secret);
 * String text = issuer.issue(17);
 * issuer.verify(text); // Optional of 17
 * </pre>
 */
public final class CallTokenIssuer {

    private static final int MAC_BYTES = 16;

    private final byte[] secret;

    /**
     * Creates an issuer with a secret.
     *
     * @param secret a secret of this process, not empty, copied
     */
    public CallTokenIssuer(byte[] secret) {
        this.secret = secret.clone();
    }

    /**
     * Issues the token of a call.
     *
     * @param callId the identifier of a call that is running at this node
     * @return the token
     */
    public String issue(long callId) {
        return callId + "." + HexFormat.of().formatHex(toMac(callId));
    }

    /**
     * Verifies a token.
     *
     * @param text the token, not {@code null}
     * @return the identifier of the call, or empty if the token was not issued by this process
     */
    public Optional<Long> verify(String text) {
        int dot = text.indexOf('.');
        if (dot < 1) {
            return Optional.empty();
        }
        try {
            long callId = Long.parseLong(text.substring(0, dot));
            byte[] mac = HexFormat.of().parseHex(text.substring(dot + 1));
            return Digests.isEqual(mac, toMac(callId)) ? Optional.of(callId) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private byte[] toMac(long callId) {
        byte[] data = String.valueOf(callId).getBytes(StandardCharsets.UTF_8);
        return Arrays.copyOf(Digests.toHmac(secret, data), MAC_BYTES);
    }
}
