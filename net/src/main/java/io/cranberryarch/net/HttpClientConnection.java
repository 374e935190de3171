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
 * The client side of an HTTP/1.1 connection, which carries one request at a time.
 *
 * <p>A response is passed to the callback only when it is complete. The connection is closed if bytes arrive while no
 * request is pending or after a complete response.
 */
public final class HttpClientConnection implements TcpConnection.Handler, ByteBudget.Holder {

    private static final int MAX_HEAD_BYTES = 64 * 1024;

    /** Maximum number of interim (1xx) responses to one request; servers usually send one or two. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    /** Maximum number of late responses to earlier requests that are discarded on one connection. */
    private static final int MAX_UNMATCHED_RESPONSES = 8;

    private static final int MIN_FINAL_STATUS = 200;
    private static final ByteBuffer NO_BYTES = ByteBuffer.allocate(0);

    private final EventLoop loop;
    private final int maxBodyBytes;
    private final ByteBudget budget;
    private final TcpConnection connection;
    private final HttpParser parser = new HttpParser(new ResponseAssembler(), MAX_HEAD_BYTES);
    private Optional<Call> currentCall = Optional.empty();
    private Optional<HttpResponseMessage> completedResponse = Optional.empty();
    private boolean isConnected;
    private boolean isReusable = true;
    private boolean isClosed;
    private long idleSinceMs;
    private long keepAliveMs = Long.MAX_VALUE;
    private long receivedBytes;
    private int interimResponses;
    private int unmatchedResponses;
    private Runnable onIdle = () -> {};
    private Runnable onClose = () -> {};

    /**
     * Starts a connection attempt.
     *
     * @param loop the loop, not {@code null}
     * @param address the address of the server
     * @param maxBodyBytes the maximum size of a response body, in bytes; a larger one closes the connection
     * @param budget limits the bytes that this and other connections buffer for incomplete responses, not {@code null}
     */
    public HttpClientConnection(EventLoop loop, InetSocketAddress address, int maxBodyBytes, ByteBudget budget) {
        this.loop = loop;
        this.maxBodyBytes = maxBodyBytes;
        this.budget = budget;
        // Disabled because the header cache takes about 100 KB per connection.
        this.parser.setHeaderCacheSize(0);
        this.connection = TcpConnection.connect(loop, address, this);
    }

    /**
     * Sets the listeners for the events that the connection becomes reusable and that it is closed.
     *
     * @param idle called after each complete response that leaves the connection reusable, before the callback
     * @param closed called once
     */
    public void setListeners(Runnable idle, Runnable closed) {
        onIdle = idle;
        onClose = closed;
    }

    /**
     * Sends a request. No other request may be pending.
     *
     * @param request the request
     * @param responseMatcher tests whether a response belongs to the request; other responses are discarded
     * @param callback receives the outcome
     */
    public void send(HttpRequestMessage request, Predicate<HttpResponseMessage> responseMatcher, Callback callback) {
        Call call = new Call(responseMatcher, callback);
        if (isClosed) {
            callback.onFailure(HttpFailure.NOT_SENT, "closed");
            return;
        }
        parser.reset();
        parser.setHeadResponse(request.method().equals("HEAD"));
        receivedBytes = 0;
        interimResponses = 0;
        currentCall = Optional.of(call);
        connection.write(HttpWriter.toBytes(request));
    }

    /** Closes the connection. The callback of a pending request is not called. */
    public void cancel() {
        currentCall = Optional.empty();
        connection.close();
    }

    /**
     * Returns whether the connection was established, so that a request may have reached the server.
     *
     * @return {@code true} if it was established
     */
    public boolean isConnected() {
        return isConnected;
    }

    /**
     * Returns whether another request may be sent.
     *
     * @return {@code true} if the connection is open and idle and the server's keep-alive timeout has not expired
     */
    public boolean isUsable() {
        return !isClosed && isReusable && currentCall.isEmpty() && loop.nowMs() - idleSinceMs < keepAliveMs;
    }

    /**
     * Returns the time since the last response.
     *
     * @return the time in milliseconds
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
            // Also limits bytes outside the body, for example chunk extensions and trailers.
            abort("response exceeds the size limit for bodies of up to " + maxBodyBytes + " bytes");
            return;
        }
        while (bytes.hasRemaining() && !isClosed) {
            if (currentCall.isEmpty()) {
                connection.close();
                return;
            }
            int remainingBefore = bytes.remaining();
            parser.parseNext(bytes);
            boolean isMessageComplete = parser.isComplete();
            if (isMessageComplete) {
                parser.reset();
            }
            if (completedResponse.isPresent()) {
                complete(bytes.hasRemaining());
            } else if (!isMessageComplete && bytes.remaining() == remainingBefore) {
                return;
            }
        }
    }

    @Override
    public void onEndOfStream() {
        if (currentCall.isPresent()) {
            parser.atEOF();
            parser.parseNext(NO_BYTES);
            if (completedResponse.isPresent()) {
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
    public void abort(String cause) {
        fail(HttpFailure.MAY_HAVE_RUN, cause);
        connection.close();
    }

    private void fail(HttpFailure failure, String cause) {
        Optional<Call> failed = currentCall;
        currentCall = Optional.empty();
        failed.ifPresent(call -> call.callback.onFailure(failure, cause));
    }

    private void complete(boolean hasMoreBytes) {
        Call call = currentCall.orElseThrow();
        HttpResponseMessage response = completedResponse.orElseThrow();
        completedResponse = Optional.empty();
        budget.release(this);
        if (!call.responseMatcher.test(response)) {
            // A late response to an earlier request: the response to the current one may still follow.
            isReusable = false;
            unmatchedResponses++;
            if (unmatchedResponses > MAX_UNMATCHED_RESPONSES) {
                abort("more than " + MAX_UNMATCHED_RESPONSES + " responses to other requests");
            }
            return;
        }
        currentCall = Optional.empty();
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
     * A pending request.
     *
     * @param responseMatcher tests whether a response belongs to the request
     * @param callback receives the outcome
     */
    private record Call(Predicate<HttpResponseMessage> responseMatcher, Callback callback) {}

    /** Receives the outcome of a request. */
    public interface Callback {

        /**
         * Handles a completely received response.
         *
         * @param response the response
         */
        void onResponse(HttpResponseMessage response);

        /**
         * Handles that the request failed without a response.
         *
         * @param failure whether the server may have executed the request
         * @param cause the reason, for the log
         */
        void onFailure(HttpFailure failure, String cause);
    }

    /** Assembles a response from the events of the parser. */
    private final class ResponseAssembler implements HttpParser.ResponseHandler {

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
                abort("response body exceeds " + maxBodyBytes + " bytes");
            }
            return isClosed;
        }

        @Override
        public boolean contentComplete() {
            return false;
        }

        @Override
        public boolean messageComplete() {
            if (currentCall.isEmpty()) {
                return true;
            }
            if (status < MIN_FINAL_STATUS) {
                interimResponses++;
                if (interimResponses > MAX_INTERIM_RESPONSES) {
                    abort("more than " + MAX_INTERIM_RESPONSES + " interim responses");
                }
                return true;
            }
            Set<String> options = HttpHeaders.toConnectionOptions(headers);
            boolean isNonPersistent = version != HttpVersion.HTTP_1_1 && !options.contains("keep-alive");
            keepAliveMs = toKeepAliveMs(headers);
            isReusable = isReusable && !isNonPersistent && !options.contains("close");
            completedResponse = Optional.of(new HttpResponseMessage(status, headers, body.toByteArray()));
            return true;
        }

        @Override
        public void earlyEOF() {
            fail(HttpFailure.MAY_HAVE_RUN, "response truncated");
        }

        @Override
        public void badMessage(HttpException failure) {
            fail(HttpFailure.MAY_HAVE_RUN, "malformed response: " + failure.getReason());
            connection.close();
        }
    }

    /**
     * Parses the {@code timeout=N} parameter of a Keep-Alive header. One second is subtracted, because the server's
     * timeout starts earlier than the client's.
     */
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
