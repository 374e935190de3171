package io.cranberryarch.context;

import io.cranberryarch.base.Digests;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Issues and verifies the token that an upstream passes on with its own calls.
 *
 * <p>The token names a call that runs at this node now. The node keeps the call's context, deadline and retry budget
 * itself, so that the upstream can neither forge nor widen them, and a token is worthless after its call ended.
 *
 * <pre>
 * CallTokenIssuer tokens = new CallTokenIssuer(secret);
 * String text = tokens.issue(17);
 * tokens.verify(text); // Optional of 17
 * </pre>
 */
public final class CallTokenIssuer {

    private static final int MAC_BYTES = 16;

    private final byte[] secret;

    /**
     * Creates an issuer.
     *
     * @param secret a secret of this process, not empty, copied
     */
    public CallTokenIssuer(byte[] secret) {
        this.secret = secret.clone();
    }

    /**
     * Issues a token.
     *
     * @param callId the call that runs at this node
     * @return the token
     */
    public String issue(long callId) {
        return callId + "." + HexFormat.of().formatHex(toMac(callId));
    }

    /**
     * Verifies a token.
     *
     * @param text the token, not {@code null}
     * @return the call it names, or empty if it was not issued by this process
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
