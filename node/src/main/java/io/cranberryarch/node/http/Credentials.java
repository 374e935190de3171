package io.cranberryarch.node.http;

import io.cranberryarch.base.Digests;
import io.cranberryarch.context.RequestHeaders;
import io.cranberryarch.node.config.SettingsService;
import io.cranberryarch.settings.AccountKey;
import io.cranberryarch.settings.ClientAccount;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.eclipse.jetty.server.Request;

/** Authenticates requests by the key of a client account. Thread-safe. */
final class Credentials {

    private static final String BEARER_PREFIX = "Bearer ";
    private static final String UNKNOWN_KEY_DIGEST = "0".repeat(64);

    private final SettingsService settings;

    Credentials(SettingsService settings) {
        this.settings = settings;
    }

    Optional<ClientAccount> authenticate(Request request) {
        return parseBearerToken(request).flatMap(this::findAccount);
    }

    static Optional<String> parseBearerToken(Request request) {
        String header = request.getHeaders().get(RequestHeaders.AUTHORIZATION);
        if (header == null || !header.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())) {
            return Optional.empty();
        }
        return Optional.of(header.substring(BEARER_PREFIX.length()).trim());
    }

    private Optional<ClientAccount> findAccount(String token) {
        int dot = token.indexOf('.');
        if (dot < 1) {
            return Optional.empty();
        }
        String keyId = token.substring(0, dot);
        Optional<AccountKey> key = settings.getFleetSettings().getKey(keyId);
        String expected = key.map(AccountKey::secretSha256).orElse(UNKNOWN_KEY_DIGEST);
        boolean isMatch = Digests.isEqual(toBytes(expected), toBytes(Digests.toSha256Hex(token.substring(dot + 1))));
        if (!isMatch || key.isEmpty() || settings.isWithdrawn(keyId)) {
            return Optional.empty();
        }
        return settings.getFleetSettings().getAccount(key.get().account());
    }

    private static byte[] toBytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
