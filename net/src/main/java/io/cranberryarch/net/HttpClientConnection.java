package io.cranberryarch.net;

import io.cranberryarch.context.HeaderField;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * The client side of an HTTP/1.1 connection: one request at a time.
 *
 * <p>A response is handed over only when it is whole. Bytes that arrive while no request waits close the connection,
 * and so do bytes behind a whole response.
 */
public final class HttpClientConnection implements TcpConnection.Handler, ByteBudget.Holder {

    private static final int MAX_HEAD_BYTES = 64 * 1024;

    /** Interim responses to one request; servers send one or two. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    /** Late responses to earlier requests that are skipped on one connection. */
    private static final int MAX_FOREIGN_RESPONSES = 8;

    private static final int FIRST_FINAL_STATUS = 200;
    private static final ByteBuffer NO_BYTES = ByteBuffer.allocate(0);

    private final EventLoop loop;
    private final int maxBodyBytes;
    private final ByteBudget budget;
    private final TcpConnection connection;
    private final HttpParser parser = new HttpParser(new ResponseReader(), MAX_HEAD_BYTES);
    private Optional<Call> current = Optional.empty();
    private Optional<HttpResponseMessage> completed = Optional.empty();
    private boolean isConnected;
    private boolean isReusable = true;
    private boolean isClosed;
    private long idleSinceMs;
    private long keepAliveMs = Long.MAX_VALUE;
    private long receivedBytes;
    private int interimResponses;
    private int foreignResponses;
    private Runnable onIdle = () -> {};
    private Runnable onClose = () -> {};

    /**
     * Begins to connect.
     *
     * @param loop the loop, not {@code null}
     * @param address the address of the server
     * @param maxBodyBytes the largest body of a response; the connection is closed at a larger one
     * @param budget bounds what this and other connections hold of responses that are not whole
     */
    public HttpClientConnection(EventLoop loop, InetSocketAddress address, int maxBodyBytes, ByteBudget budget) {
        this.loop = loop;
        this.maxBodyBytes = maxBodyBytes;
        this.budget = budget;
        // The cache of header fields takes some 100 KB for each connection.
        this.parser.setHeaderCacheSize(0);
        this.connection = TcpConnection.connect(loop, address, this);
    }

    /**
     * Sets what happens when a response was whole and the connection may be used again, and when it is closed.
     *
     * @param idle runs each time before the response is handed over
     * @param closed runs once
     */
    public void setListeners(Runnable idle, Runnable closed) {
        onIdle = idle;
        onClose = closed;
    }

    /**
     * Sends a request. No other request may be under way.
     *
     * @param request the request
     * @param isAnswer tells whether a response belongs to the request; another one is dropped
     * @param callback learns the outcome
     */
    public void send(HttpRequestMessage request, Predicate<HttpResponseMessage> isAnswer, Callback callback) {
        Call call = new Call(isAnswer, callback);
        if (isClosed) {
            callback.onFailure(HttpFailure.NOT_SENT, "closed");
            return;
        }
        parser.reset();
        parser.setHeadResponse(request.method().equals("HEAD"));
        receivedBytes = 0;
        interimResponses = 0;
        current = Optional.of(call);
        connection.write(HttpWriter.toBytes(request));
    }

    /** Closes the connection. The callback of a request under way is not called. */
    public void cancel() {
        current = Optional.empty();
        connection.close();
    }

    /**
     * Tells whether the connection was established, so that a request may have reached the server.
     *
     * @return whether it was established
     */
    public boolean isConnected() {
        return isConnected;
    }

    /**
     * Tells whether a further request may be sent.
     *
     * @return whether the connection is open, unused and within the time that the server keeps it
     */
    public boolean isUsable() {
        return !isClosed && isReusable && current.isEmpty() && loop.nowMs() - idleSinceMs < keepAliveMs;
    }

    /**
     * Gets the time since the last response.
     *
     * @return milliseconds
     */
    public long getIdleMs() {
        return loop.nowMs() - idleSinceMs;
    }

    @Override
    public void onConnected() {
        isConnected = true;
    }

    @Override
    public void onData(ByteBuffer bytes) {
        receivedBytes += bytes.remaining();
        if (receivedBytes > (long) maxBodyBytes + MAX_HEAD_BYTES) {
            // Also bounds what is not part of a body, e.g. chunk extensions and trailers.
            giveUp("more than " + maxBodyBytes + " bytes for one request");
            return;
        }
        while (bytes.hasRemaining() && !isClosed) {
            if (current.isEmpty()) {
                connection.close();
                return;
            }
            int before = bytes.remaining();
            parser.parseNext(bytes);
            boolean isWhole = parser.isComplete();
            if (isWhole) {
                parser.reset();
            }
            if (completed.isPresent()) {
                complete(bytes.hasRemaining());
            } else if (!isWhole && bytes.remaining() == before) {
                return;
            }
        }
    }

    @Override
    public void onEnd() {
        if (current.isPresent()) {
            parser.atEOF();
            parser.parseNext(NO_BYTES);
            if (completed.isPresent()) {
                isReusable = false;
                complete(false);
            }
        }
    }

    @Override
    public void onClosed(Optional<IOException> failure) {
        isClosed = true;
        budget.release(this);
        String cause = failure.map(IOException::getMessage).orElse("closed by peer");
        fail(isConnected ? HttpFailure.MAY_HAVE_RUN : HttpFailure.NOT_SENT, cause);
        onClose.run();
    }

    @Override
    public void giveUp(String cause) {
        fail(HttpFailure.MAY_HAVE_RUN, cause);
        connection.close();
    }

    private void fail(HttpFailure failure, String cause) {
        Optional<Call> failed = current;
        current = Optional.empty();
        failed.ifPresent(call -> call.callback.onFailure(failure, cause));
    }

    private void complete(boolean hasMoreBytes) {
        Call call = current.orElseThrow();
        HttpResponseMessage response = completed.orElseThrow();
        completed = Optional.empty();
        budget.release(this);
        if (!call.isAnswer.test(response)) {
            // A response to an earlier request, late: the one that is waited for may follow.
            isReusable = false;
            foreignResponses++;
            if (foreignResponses > MAX_FOREIGN_RESPONSES) {
                giveUp("more than " + MAX_FOREIGN_RESPONSES + " responses to other requests");
            }
            return;
        }
        current = Optional.empty();
        idleSinceMs = loop.nowMs();
        isReusable = isReusable && !hasMoreBytes;
        if (isReusable) {
            onIdle.run();
        } else {
            connection.close();
        }
        call.callback.onResponse(response);
    }

    /**
     * A request under way.
     *
     * @param isAnswer tells whether a response belongs to it
     * @param callback learns the outcome
     */
    private record Call(Predicate<HttpResponseMessage> isAnswer, Callback callback) {}

    /** Learns the outcome of a request. */
    public interface Callback {

        /**
         * The whole response has arrived.
         *
         * @param response the response
         */
        void onResponse(HttpResponseMessage response);

        /**
         * There will be no response.
         *
         * @param failure whether the server may have received the request
         * @param cause what happened
         */
        void onFailure(HttpFailure failure, String cause);
    }

    /** Gathers the parts of a response. */
    private final class ResponseReader implements HttpParser.ResponseHandler {

        private int status;
        private HttpVersion version = HttpVersion.HTTP_1_1;
        private List<HeaderField> headers = new ArrayList<>();
        private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

        @Override
        public void startResponse(HttpVersion newVersion, int newStatus, String reason) {
            version = newVersion;
            status = newStatus;
            headers = new ArrayList<>();
            body = new ByteArrayOutputStream(0);
        }

        @Override
        public void parsedHeader(HttpField field) {
            headers.add(new HeaderField(field.getName(), field.getValue() == null ? "" : field.getValue()));
        }

        @Override
        public boolean headerComplete() {
            return false;
        }

        @Override
        public boolean content(ByteBuffer bytes) {
            byte[] part = new byte[bytes.remaining()];
            bytes.get(part);
            body.write(part, 0, part.length);
            budget.add(HttpClientConnection.this, part.length);
            if (!isClosed && body.size() > maxBodyBytes) {
                giveUp("response larger than " + maxBodyBytes + " bytes");
            }
            return isClosed;
        }

        @Override
        public boolean contentComplete() {
            return false;
        }

        @Override
        public boolean messageComplete() {
            if (current.isEmpty()) {
                return true;
            }
            if (status < FIRST_FINAL_STATUS) {
                interimResponses++;
                if (interimResponses > MAX_INTERIM_RESPONSES) {
                    giveUp("more than " + MAX_INTERIM_RESPONSES + " interim responses");
                }
                return true;
            }
            Set<String> options = HttpHeaders.toConnectionOptions(headers);
            boolean isOld = version != HttpVersion.HTTP_1_1 && !options.contains("keep-alive");
            keepAliveMs = toKeepAliveMs(headers);
            isReusable = isReusable && !isOld && !options.contains("close");
            completed = Optional.of(new HttpResponseMessage(status, headers, body.toByteArray()));
            return true;
        }

        @Override
        public void earlyEOF() {
            fail(HttpFailure.MAY_HAVE_RUN, "response cut short");
        }

        @Override
        public void badMessage(HttpException failure) {
            fail(HttpFailure.MAY_HAVE_RUN, "malformed response: " + failure.getReason());
            connection.close();
        }
    }

    /** Parses {@code timeout=N} of a Keep-Alive header; a second less, since the server's clock starts earlier. */
    private static long toKeepAliveMs(List<HeaderField> headers) {
        String value = HttpHeaders.find(headers, "Keep-Alive").orElse("");
        int start = value.indexOf("timeout=");
        if (start < 0) {
            return Long.MAX_VALUE;
        }
        int end = start + "timeout=".length();
        long seconds = 0;
        while (end < value.length() && Character.isDigit(value.charAt(end)) && seconds < Integer.MAX_VALUE) {
            seconds = seconds * 10 + Character.digit(value.charAt(end), 10);
            end++;
        }
        return Math.max(0, seconds - 1) * 1_000;
    }
}
