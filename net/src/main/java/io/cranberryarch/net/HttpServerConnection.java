package io.cranberryarch.net;

import io.cranberryarch.context.HeaderField;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * The server side of an HTTP/1.1 connection. Pipelined requests are handled concurrently; their responses are sent in
 * the order of the requests.
 */
public final class HttpServerConnection implements TcpConnection.Handler {

    /** Requests of one connection that are handled concurrently; further ones are not read until one completes. */
    private static final int MAX_PIPELINED_REQUESTS = 32;

    private static final byte[] CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final EventLoop loop;
    private final TcpConnection connection;
    private final HttpServer server;
    private final Supplier<HttpLimits> limits;
    private final HttpParser parser;
    private final Deque<Exchange> exchanges = new ArrayDeque<>();
    private ByteBuffer unparsed = ByteBuffer.allocate(0);
    private long lastActiveAtMs;
    private boolean isParsing;
    private boolean isClosing;
    private boolean isClosed;

    HttpServerConnection(EventLoop loop, TcpConnection connection, HttpServer server, Supplier<HttpLimits> limits) {
        this.loop = loop;
        this.connection = connection;
        this.server = server;
        this.limits = limits;
        this.parser = new HttpParser(new RequestAssembler(), limits.get().maxHeaderBytes());
        // Disabled because the header cache takes about 100 KB per connection.
        this.parser.setHeaderCacheSize(0);
        this.lastActiveAtMs = loop.nowMs();
    }

    @Override
    public void onData(ByteBuffer bytes) {
        lastActiveAtMs = loop.nowMs();
        if (unparsed.hasRemaining()) {
            ByteBuffer joined = ByteBuffer.allocate(unparsed.remaining() + bytes.remaining());
            unparsed = joined.put(unparsed).put(bytes).flip();
            parse(unparsed);
            return;
        }
        parse(bytes);
        if (bytes.hasRemaining() && !isClosed) {
            unparsed = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
        }
    }

    @Override
    public void onClosed(Optional<IOException> failure) {
        isClosed = true;
        server.remove(this);
        for (Exchange exchange : exchanges) {
            exchange.abandon();
        }
        exchanges.clear();
    }

    /** Closes the connection if the idle timeout or the timeout of a partly received request has expired. */
    void closeIfIdle() {
        long idleMs = loop.nowMs() - lastActiveAtMs;
        if (!exchanges.isEmpty()) {
            return;
        }
        boolean isBetweenRequests = parser.isStart() && !unparsed.hasRemaining();
        if (isBetweenRequests) {
            if (idleMs > limits.get().idleTimeoutMs()) {
                connection.close();
            }
        } else if (idleMs > limits.get().headerTimeoutMs()) {
            reject(408, "request not received within the timeout");
        }
    }

    /**
     * Closes the connection after the responses to the requests received so far, the last of which announces it. Bytes
     * behind these requests are discarded. A partly received request is completed only if no response is due before it.
     */
    void closeGracefully() {
        isClosing = true;
        if (!exchanges.isEmpty()) {
            exchanges.peekLast().isLast = true;
            return;
        }
        boolean isBetweenRequests = parser.isStart() && !unparsed.hasRemaining();
        if (isBetweenRequests) {
            connection.shutdownAfterFlush();
        }
    }

    boolean hasUnsentBytes() {
        return connection.getUnsentBytes() > 0;
    }

    boolean hasExchanges() {
        return !exchanges.isEmpty();
    }

    private void parse(ByteBuffer bytes) {
        isParsing = true;
        try {
            parseRequests(bytes);
        } finally {
            isParsing = false;
        }
    }

    private void parseRequests(ByteBuffer bytes) {
        while (bytes.hasRemaining() && !isClosed && !isLastRequestReceived()) {
            if (exchanges.size() >= MAX_PIPELINED_REQUESTS) {
                connection.setReading(false);
                return;
            }
            int remainingBefore = bytes.remaining();
            parser.parseNext(bytes);
            if (parser.isComplete()) {
                parser.reset();
            } else if (bytes.remaining() == remainingBefore) {
                return;
            }
        }
        if (isLastRequestReceived()) {
            bytes.position(bytes.limit());
        }
    }

    /** Returns whether the last request of the connection has been received, so that further bytes are discarded. */
    private boolean isLastRequestReceived() {
        return isClosing && !exchanges.isEmpty() && exchanges.peekLast().isLast;
    }

    private void resumeReading() {
        if (isClosed || isParsing || exchanges.size() >= MAX_PIPELINED_REQUESTS) {
            return;
        }
        connection.setReading(true);
        if (unparsed.hasRemaining()) {
            parse(unparsed);
        }
    }

    private void reject(int status, String cause) {
        Exchange exchange = new Exchange(null, loop.nowMs());
        exchange.isLast = true;
        isClosing = true;
        exchanges.add(exchange);
        exchange.respond(server.toMalformedResponse(status, cause));
    }

    private void sendCompletedResponses() {
        while (!exchanges.isEmpty() && exchanges.peek().response.isPresent()) {
            Exchange exchange = exchanges.poll();
            connection.write(exchange.toBytes());
            lastActiveAtMs = loop.nowMs();
            if (exchange.isLast) {
                close(exchange);
                return;
            }
        }
        resumeReading();
    }

    private void close(Exchange last) {
        if (last.isCloseRequested) {
            connection.closeAfterFlush();
        } else {
            // The caller may send further requests before it has read that the connection closes.
            connection.shutdownAfterFlush();
        }
    }

    /** One request and its response. */
    private final class Exchange implements HttpExchange {

        private final HttpRequestMessage request;
        private final long receivedAtMs;
        private Optional<HttpResponseMessage> response = Optional.empty();
        private boolean isLast;
        private boolean isCloseRequested;
        private boolean isAbandoned;
        private Optional<Runnable> onAbandoned = Optional.empty();

        Exchange(HttpRequestMessage request, long receivedAtMs) {
            this.request = request;
            this.receivedAtMs = receivedAtMs;
        }

        @Override
        public HttpRequestMessage getRequest() {
            return request;
        }

        @Override
        public Optional<InetAddress> getRemoteAddress() {
            return connection.getRemoteAddress();
        }

        @Override
        public boolean isFromLocalHost() {
            return connection.isFromLocalHost();
        }

        @Override
        public long getReceivedAtMs() {
            return receivedAtMs;
        }

        @Override
        public void respond(HttpResponseMessage completed) {
            if (response.isPresent() || isAbandoned) {
                return;
            }
            response = Optional.of(completed);
            sendCompletedResponses();
        }

        /** Serializes the response when it is sent, as it may become the last one while it waits for earlier ones. */
        private ByteBuffer toBytes() {
            boolean isHead = request != null && request.method().equals("HEAD");
            return HttpWriter.toBytes(response.orElseThrow(), isHead, isLast);
        }

        @Override
        public void onAbandoned(Runnable action) {
            onAbandoned = Optional.of(action);
        }

        @Override
        public boolean isAbandoned() {
            return isAbandoned;
        }

        private void abandon() {
            isAbandoned = true;
            if (response.isEmpty()) {
                onAbandoned.ifPresent(Runnable::run);
            }
        }
    }

    /** Assembles a request from the events of the parser. */
    private final class RequestAssembler implements HttpParser.RequestHandler {

        private String method = "";
        private String target = "";
        private HttpVersion version = HttpVersion.HTTP_1_1;
        private List<HeaderField> headers = new ArrayList<>();
        private ByteArrayOutputStream body;
        private boolean hasBody;
        private boolean isBodyTooLarge;

        @Override
        public void startRequest(String newMethod, String uri, HttpVersion newVersion) {
            method = newMethod;
            target = uri;
            version = newVersion;
            headers = new ArrayList<>();
            body = null;
            hasBody = false;
            isBodyTooLarge = false;
        }

        @Override
        public void parsedHeader(HttpField field) {
            headers.add(new HeaderField(field.getName(), field.getValue() == null ? "" : field.getValue()));
        }

        @Override
        public boolean headerComplete() {
            hasBody = parser.isChunking()
                    || HttpHeaders.find(headers, "Content-Length").isPresent();
            if (parser.getContentLength() > limits.get().maxBodyBytes()) {
                isBodyTooLarge = true;
                reject(413, "body too large");
                return true;
            }
            boolean isContinueExpected = HttpHeaders.find(headers, "Expect").isPresent();
            if (isContinueExpected && exchanges.isEmpty()) {
                connection.write(ByteBuffer.wrap(CONTINUE_RESPONSE));
            }
            return false;
        }

        @Override
        public boolean content(ByteBuffer bytes) {
            if (body == null) {
                body = new ByteArrayOutputStream(bytes.remaining());
            }
            byte[] part = new byte[bytes.remaining()];
            bytes.get(part);
            body.write(part, 0, part.length);
            if (body.size() > limits.get().maxBodyBytes() && !isBodyTooLarge) {
                isBodyTooLarge = true;
                reject(413, "body too large");
                return true;
            }
            return false;
        }

        @Override
        public boolean contentComplete() {
            return false;
        }

        @Override
        public boolean messageComplete() {
            if (isBodyTooLarge) {
                return true;
            }
            byte[] bytes = body == null ? new byte[0] : body.toByteArray();
            Set<String> options = HttpHeaders.toConnectionOptions(headers);
            boolean isNonPersistent = version != HttpVersion.HTTP_1_1 && !options.contains("keep-alive");
            HttpRequestMessage request = new HttpRequestMessage(method, target, headers, bytes, hasBody);
            Exchange exchange = new Exchange(request.toOriginForm(), loop.nowMs());
            exchange.isCloseRequested = isNonPersistent || options.contains("close");
            isClosing |= exchange.isCloseRequested;
            exchange.isLast = isClosing;
            exchanges.add(exchange);
            server.getHandler().onRequest(exchange);
            return true;
        }

        @Override
        public void earlyEOF() {
            connection.close();
        }

        @Override
        public void badMessage(HttpException failure) {
            reject(failure.getCode(), String.valueOf(failure.getReason()));
        }
    }
}
