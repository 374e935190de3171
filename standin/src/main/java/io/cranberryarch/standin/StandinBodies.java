package io.cranberryarch.standin;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Invocable.InvocationType;

/** Reads the complete bodies of requests to a stand-in. */
final class StandinBodies {

    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    private StandinBodies() {}

    static CompletableFuture<byte[]> read(Request request) {
        CompletableFuture<byte[]> body = new CompletableFuture<>();
        Content.Source.asByteArrayAsync(
                request,
                MAX_BODY_BYTES,
                Promise.Invocable.from(InvocationType.NON_BLOCKING, body::complete, body::completeExceptionally));
        return body;
    }
}
