package io.cranberryarch.base;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes cryptographic digests and generates random secrets.
 *
 * <pre>
 * String hash = Digests.toSha256Hex(key);
 * boolean same = Digests.isEqual(expectedMac, actualMac);
 * </pre>
 */
public final class Digests {

    private static final String HMAC_ALGORITHM = "HmacSHA256";
    private static final SecureRandom RANDOM = new SecureRandom();

    private Digests() {}

    /**
     * Computes the HMAC-SHA-256 of data.
     *
     * @param secret the key, not {@code null} and not empty
     * @param data the bytes to authenticate, not {@code null}
     * @return the message authentication code of 32 bytes
     */
    public static byte[] toHmac(byte[] secret, byte[] data) {
        try {
            Mac mac = Mac.getInstance(HMAC_ALGORITHM);
            mac.init(new SecretKeySpec(secret, HMAC_ALGORITHM));
            return mac.doFinal(data);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HMAC-SHA-256 is not available", e);
        }
    }

    /**
     * Computes the SHA-256 digest of a text.
     *
     * @param text the text, not {@code null}
     * @return 64 lower-case hexadecimal digits, computed over the UTF-8 bytes
     */
    public static String toSha256Hex(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /**
     * Compares two byte arrays in constant time.
     *
     * @param a the first array, may be {@code null}
     * @param b the second array, may be {@code null}
     * @return whether both contain the same bytes or are both {@code null}
     */
    public static boolean isEqual(byte[] a, byte[] b) {
        return MessageDigest.isEqual(a, b);
    }

    /**
     * Generates cryptographically strong random bytes, suitable for secrets.
     *
     * @param length the number of bytes, not negative
     * @return a new array
     */
    public static byte[] randomBytes(int length) {
        byte[] bytes = new byte[length];
        RANDOM.nextBytes(bytes);
        return bytes;
    }

    /**
     * Generates cryptographically strong random text, suitable for keys and identifiers.
     *
     * @param length the number of random bytes, not negative
     * @return {@code 2 * length} lower-case hexadecimal digits
     */
    public static String randomHex(int length) {
        return HexFormat.of().formatHex(randomBytes(length));
    }
}
