package io.cranberryarch.node.http;

import io.cranberryarch.context.HeaderField;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.context.RequestHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Invocable.InvocationType;

/** Reads bodies and headers of HTTP requests. */
final class HttpRequests {

    private HttpRequests() {}

    static CompletableFuture<byte[]> read(Request request, int maxBytes) {
        CompletableFuture<byte[]> body = new CompletableFuture<>();
        Content.Source.asByteArrayAsync(
                request,
                maxBytes,
                Promise.Invocable.from(InvocationType.NON_BLOCKING, body::complete, body::completeExceptionally));
        return body;
    }

    /**
     * Returns a callback that succeeds only after the rest of the request body was read. A connection that is closed
     * earlier may be reset, and the caller may then lose a response that was sent before its whole body arrived.
     */
    static Callback toDrainingCallback(Request request, int maxBytes, Callback callback) {
        return Callback.from(
                () -> read(request, maxBytes).whenComplete((rest, failure) -> callback.succeeded()), callback::failed);
    }

    static Optional<Refusal> checkLength(Request request, int maxBytes) {
        long length = request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
        return length > maxBytes ? Optional.of(Refusal.ofNotRun(RefusalReason.BODY_TOO_LARGE, 0)) : Optional.empty();
    }

    /** Checks whether the caller declares that no earlier attempt with the same idempotency key can have run. */
    static boolean isFirstAttempt(Request request) {
        return "1".equals(request.getHeaders().get(RequestHeaders.REQUEST_ATTEMPT));
    }

    static Refusal toRefusal(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        RefusalReason reason = cause instanceof IllegalStateException || failure instanceof IllegalStateException
                ? RefusalReason.BODY_TOO_LARGE
                : RefusalReason.BODY_INCOMPLETE;
        return Refusal.ofNotRun(reason, 0);
    }

    static List<HeaderField> toForwardedHeaders(Request request) {
        List<HeaderField> headers = new ArrayList<>();
        for (HttpField field : request.getHeaders()) {
            if (RequestHeaders.isForwarded(field.getName())) {
                headers.add(new HeaderField(field.getName(), field.getValue()));
            }
        }
        return headers;
    }
}
