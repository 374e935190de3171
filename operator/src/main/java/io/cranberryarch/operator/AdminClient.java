package io.cranberryarch.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.cranberryarch.api.ApiJson;
import io.cranberryarch.api.ChangeBody;
import io.cranberryarch.api.ChangeRequest;
import io.cranberryarch.api.CountsBody;
import io.cranberryarch.api.EditBody;
import io.cranberryarch.api.ErrorBody;
import io.cranberryarch.api.HistoryBody;
import io.cranberryarch.api.KeysBody;
import io.cranberryarch.api.SettingsBody;
import io.cranberryarch.api.StatusBody;
import io.cranberryarch.base.Digests;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/** The administration interface of a node, as operators use it. */
public final class AdminClient implements AutoCloseable {

    private static final long TIMEOUT_MS = 15_000;
    private static final long REPORT_TIMEOUT_MS = 300_000;
    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
    private static final int CHANGE_ID_BYTES = 8;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_ATTEMPTS = 3;

    private final HttpClient client = new HttpClient();
    private final URI node;
    private final String token;

    AdminClient(URI node, String token) throws CommandException {
        this.node = node;
        this.token = token;
        try {
            client.start();
        } catch (Exception e) {
            throw new CommandException(ExitCodes.UNREACHABLE, "the HTTP client cannot start", List.of(e.getMessage()));
        }
    }

    SettingsBody readSettings(String path) throws CommandException {
        return send("GET", "/v1/settings?path=" + urlEncode(path), Optional.empty(), SettingsBody.class);
    }

    HistoryBody readHistory(String path) throws CommandException {
        return send("GET", "/v1/history?path=" + urlEncode(path), Optional.empty(), HistoryBody.class);
    }

    /**
     * Changes settings. The same change identifier is used in every attempt, so that a lost answer does no harm.
     */
    ChangeBody changeSettings(long baseVersion, List<EditBody> edits) throws CommandException {
        ChangeRequest request = new ChangeRequest(Digests.randomHex(CHANGE_ID_BYTES), baseVersion, edits);
        for (int attempt = 1; ; attempt++) {
            try {
                return send("POST", "/v1/settings", Optional.of(request), ChangeBody.class);
            } catch (CommandException e) {
                if (e.getExitCode() != ExitCodes.UNREACHABLE || attempt == MAX_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    StatusBody readStatus() throws CommandException {
        return send("GET", "/v1/status", Optional.empty(), StatusBody.class);
    }

    StatusBody drain() throws CommandException {
        return send("POST", "/v1/drain", Optional.empty(), StatusBody.class);
    }

    KeysBody readKeys() throws CommandException {
        return send("GET", "/v1/keys", Optional.empty(), KeysBody.class);
    }

    StatusBody withdrawKey(String keyId) throws CommandException {
        return send("POST", "/v1/withdraw?key=" + urlEncode(keyId), Optional.empty(), StatusBody.class);
    }

    CountsBody readCounts(String day) throws CommandException {
        return send("GET", "/v1/counts?day=" + urlEncode(day), Optional.empty(), CountsBody.class, REPORT_TIMEOUT_MS);
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the HTTP client cannot stop", e);
        }
    }

    private <T> T send(String method, String target, Optional<Object> body, Class<T> type) throws CommandException {
        return send(method, target, body, type, TIMEOUT_MS);
    }

    private <T> T send(String method, String target, Optional<Object> body, Class<T> type, long timeoutMs)
            throws CommandException {
        Request request = client.newRequest(node.resolve(target))
                .method(method)
                .headers(headers -> headers.put("Authorization", "Bearer " + token))
                .timeout(timeoutMs, TimeUnit.MILLISECONDS);
        try {
            if (body.isPresent()) {
                request.body(new BytesRequestContent("application/json", toJson(body.get())));
            }
            CompletableFuture<ContentResponse> future =
                    new CompletableResponseListener(request, MAX_RESPONSE_BYTES).send();
            ContentResponse response = future.get(timeoutMs, TimeUnit.MILLISECONDS);
            if (response.getStatus() != OK) {
                throw toException(response);
            }
            return ApiJson.MAPPER.readValue(response.getContent(), type);
        } catch (IOException | ExecutionException | TimeoutException e) {
            throw new CommandException(
                    ExitCodes.UNREACHABLE, "no answer from " + node, List.of(String.valueOf(e.getMessage())));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCodes.UNREACHABLE, "interrupted", List.of());
        }
    }

    private static CommandException toException(ContentResponse response) throws IOException {
        ErrorBody error = ApiJson.MAPPER.readValue(response.getContent(), ErrorBody.class);
        int exitCode =
                switch (response.getStatus()) {
                    case CONFLICT -> ExitCodes.CONFLICT;
                    case UNAVAILABLE -> ExitCodes.UNREACHABLE;
                    default -> ExitCodes.REFUSED;
                };
        return new CommandException(exitCode, error.error(), error.details());
    }

    private static byte[] toJson(Object body) throws JsonProcessingException {
        return ApiJson.MAPPER.writeValueAsBytes(body);
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
