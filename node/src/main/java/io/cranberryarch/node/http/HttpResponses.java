package io.cranberryarch.node.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.cranberryarch.api.ApiJson;
import io.cranberryarch.api.RefusalBody;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RequestHeaders;
import io.cranberryarch.decision.retry.RetryAfter;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes HTTP responses. */
final class HttpResponses {

    private static final long MS_PER_SECOND = 1_000;

    private HttpResponses() {}

    /** Sets the execution of a result to unknown if an earlier attempt with the same idempotency key may have run. */
    static CallResult adjustExecution(CallResult result, boolean isKeyed, boolean isFirstAttempt) {
        return isKeyed && !isFirstAttempt ? result.toUnknown() : result;
    }

    static void write(Response response, Callback callback, CallResult result, String requestId) {
        if (result.refusal().isPresent()) {
            writeRefusal(response, callback, result.refusal().get(), requestId);
            return;
        }
        response.setStatus(result.status());
        for (HeaderField header : result.headers()) {
            response.getHeaders().add(header.name(), header.value());
        }
        response.getHeaders().put(RequestHeaders.REQUEST_ID, requestId);
        response.getHeaders().put(RequestHeaders.EXECUTION, result.toExecution().toText());
        response.write(true, ByteBuffer.wrap(result.body()), callback);
    }

    static void writeRefusal(Response response, Callback callback, Refusal refusal, String requestId) {
        response.getHeaders().put(RequestHeaders.REQUEST_ID, requestId);
        response.getHeaders().put(RequestHeaders.EXECUTION, refusal.execution().toText());
        long retryAfterMs = RetryAfter.toJitteredMs(
                refusal.retryAfterMs(), ThreadLocalRandom.current().nextLong());
        if (retryAfterMs > 0) {
            long seconds = 1 + (retryAfterMs - 1) / MS_PER_SECOND;
            response.getHeaders().put(RequestHeaders.RETRY_AFTER, seconds);
        }
        RefusalBody body =
                new RefusalBody(refusal.reason().toText(), refusal.execution().toText(), requestId, retryAfterMs);
        writeJson(response, callback, refusal.reason().getStatus(), body);
    }

    static void writeJson(Response response, Callback callback, int status, Object body) {
        try {
            byte[] json = ApiJson.MAPPER.writeValueAsBytes(body);
            response.setStatus(status);
            if (status == HttpStatus.UNAUTHORIZED_401) {
                response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
            }
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            response.write(true, ByteBuffer.wrap(json), callback);
        } catch (JsonProcessingException e) {
            callback.failed(e);
        }
    }

    static void writeText(Response response, Callback callback, String text) {
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
