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
 * The server side of an HTTP/1.1 connection. Requests that are sent before earlier ones are answered run side by side;
 * their responses leave in the order of the requests.
 */
public final class HttpServerConnection implements TcpConnection.Handler {

    /** Requests of one connection that run side by side; the rest is left unread. */
    private static final int MAX_PIPELINED = 32;

    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final EventLoop loop;
    private final TcpConnection connection;
    private final HttpServer server;
    private final Supplier<HttpLimits> limits;
    private final HttpParser parser;
    private final Deque<Exchange> exchanges = new ArrayDeque<>();
    private ByteBuffer unparsed = ByteBuffer.allocate(0);
    private long activeAtMs;
    private boolean isParsing;
    private boolean isLastTaken;
    private boolean isClosed;

    HttpServerConnection(EventLoop loop, TcpConnection connection, HttpServer server, Supplier<HttpLimits> limits) {
        this.loop = loop;
        this.connection = connection;
        this.server = server;
        this.limits = limits;
        this.parser = new HttpParser(new RequestReader(), limits.get().maxHeaderBytes());
        // The cache of header fields takes some 100 KB for each connection.
        this.parser.setHeaderCacheSize(0);
        this.activeAtMs = loop.nowMs();
    }

    @Override
    public void onData(ByteBuffer bytes) {
        activeAtMs = loop.nowMs();
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

    /** Closes the connection if it is idle for too long or a request takes too long to arrive. */
    void closeIfIdle() {
        long quietMs = loop.nowMs() - activeAtMs;
        if (!exchanges.isEmpty()) {
            return;
        }
        boolean isBetweenRequests = parser.isStart() && !unparsed.hasRemaining();
        if (isBetweenRequests) {
            if (quietMs > limits.get().idleTimeoutMs()) {
                connection.close();
            }
        } else if (quietMs > limits.get().headerTimeoutMs()) {
            refuse(408, "request did not arrive in time");
        }
    }

    /** Closes the connection after the responses that are due, at once if there are none. */
    void closeGracefully() {
        isLastTaken = true;
        boolean isBetweenRequests = parser.isStart() && !unparsed.hasRemaining();
        if (exchanges.isEmpty() && isBetweenRequests) {
            connection.closeAfterFlush();
        }
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
        while (bytes.hasRemaining() && !isClosed && !isLastRequestTaken()) {
            if (exchanges.size() >= MAX_PIPELINED) {
                connection.setReading(false);
                return;
            }
            int before = bytes.remaining();
            parser.parseNext(bytes);
            if (parser.isComplete()) {
                parser.reset();
            } else if (bytes.remaining() == before) {
                return;
            }
        }
        if (isLastRequestTaken()) {
            bytes.position(bytes.limit());
        }
    }

    /** Tells whether nothing behind the requests that were taken is read any more. */
    private boolean isLastRequestTaken() {
        return isLastTaken && !exchanges.isEmpty() && exchanges.peekLast().isLast;
    }

    private void resume() {
        if (isClosed || isParsing || exchanges.size() >= MAX_PIPELINED) {
            return;
        }
        connection.setReading(true);
        if (unparsed.hasRemaining()) {
            parse(unparsed);
        }
    }

    private void refuse(int status, String cause) {
        Exchange exchange = new Exchange(null, loop.nowMs());
        exchange.isLast = true;
        isLastTaken = true;
        exchanges.add(exchange);
        exchange.respond(server.toMalformedResponse(status, cause));
    }

    private void sendReady() {
        while (!exchanges.isEmpty() && exchanges.peek().bytes != null) {
            Exchange exchange = exchanges.poll();
            connection.write(exchange.bytes);
            activeAtMs = loop.nowMs();
            if (exchange.isLast) {
                connection.closeAfterFlush();
                return;
            }
        }
        if (isLastTaken && exchanges.isEmpty() && parser.isStart() && !unparsed.hasRemaining()) {
            connection.closeAfterFlush();
            return;
        }
        resume();
    }

    /** One request and its response. */
    private final class Exchange implements HttpExchange {

        private final HttpRequestMessage request;
        private final long receivedAtMs;
        private ByteBuffer bytes;
        private boolean isLast;
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
        public long getReceivedAtMs() {
            return receivedAtMs;
        }

        @Override
        public void respond(HttpResponseMessage response) {
            if (bytes != null || isAbandoned) {
                return;
            }
            boolean isHead = request != null && request.method().equals("HEAD");
            isLast = isLast || (isLastTaken && this == exchanges.peekLast());
            bytes = HttpWriter.toBytes(response, isHead, isLast);
            sendReady();
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
            if (bytes == null) {
                onAbandoned.ifPresent(Runnable::run);
            }
        }
    }

    /** Gathers the parts of a request. */
    private final class RequestReader implements HttpParser.RequestHandler {

        private String method = "";
        private String target = "";
        private HttpVersion version = HttpVersion.HTTP_1_1;
        private List<HeaderField> headers = new ArrayList<>();
        private ByteArrayOutputStream body;
        private boolean hasBody;
        private boolean isTooLarge;

        @Override
        public void startRequest(String newMethod, String uri, HttpVersion newVersion) {
            method = newMethod;
            target = uri;
            version = newVersion;
            headers = new ArrayList<>();
            body = null;
            hasBody = false;
            isTooLarge = false;
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
                isTooLarge = true;
                refuse(413, "body too large");
                return true;
            }
            boolean isExpecting = HttpHeaders.find(headers, "Expect").isPresent();
            if (isExpecting && exchanges.isEmpty()) {
                connection.write(ByteBuffer.wrap(CONTINUE));
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
            if (body.size() > limits.get().maxBodyBytes() && !isTooLarge) {
                isTooLarge = true;
                refuse(413, "body too large");
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
            if (isTooLarge) {
                return true;
            }
            byte[] bytes = body == null ? new byte[0] : body.toByteArray();
            Set<String> options = HttpHeaders.toConnectionOptions(headers);
            boolean isOld = version != HttpVersion.HTTP_1_1 && !options.contains("keep-alive");
            Exchange exchange =
                    new Exchange(new HttpRequestMessage(method, target, headers, bytes, hasBody), loop.nowMs());
            exchange.isLast = isOld || options.contains("close");
            isLastTaken |= exchange.isLast;
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
            refuse(failure.getCode(), String.valueOf(failure.getReason()));
        }
    }
}
