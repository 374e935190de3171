package io.cranberryarch.mesh;

import io.cranberryarch.base.Clock;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.HttpExchange;
import io.cranberryarch.net.HttpLimits;
import io.cranberryarch.net.HttpResponseMessage;
import io.cranberryarch.net.HttpServer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** An HTTP upstream on loopback whose responses are determined by the test. */
final class TestUpstream implements AutoCloseable {

    private final String instance;
    private final EventLoop loop = new EventLoop(Clock.system());
    private final Thread thread = new Thread(loop::run, "upstream");
    private final List<HttpExchange> arrived = new CopyOnWriteArrayList<>();
    private final HttpServer server;
    private volatile Consumer<HttpExchange> behaviour;

    TestUpstream(String instance) throws Exception {
        this.instance = instance;
        this.behaviour = exchange -> respond(exchange, 200, instance);
        this.server = HttpServer.bind(
                loop,
                new InetSocketAddress("127.0.0.1", 0),
                () -> HttpLimits.DEFAULT,
                this::onRequest,
                (status, cause) -> HttpResponseMessage.ofEmpty(status));
        thread.start();
    }

    InetSocketAddress getAddress() throws Exception {
        return server.getAddress();
    }

    List<HttpExchange> getArrived() {
        return arrived;
    }

    void setBehaviour(Consumer<HttpExchange> newBehaviour) {
        behaviour = newBehaviour;
    }

    void respond(HttpExchange exchange, int status, String body, HeaderField... additionalHeaders) {
        List<HeaderField> headers = new ArrayList<>(List.of(additionalHeaders));
        headers.add(new HeaderField(
                TestHeaderNames.NAMES.requestId(),
                exchange.getRequest()
                        .findHeader(TestHeaderNames.NAMES.requestId())
                        .orElse("")));
        headers.add(new HeaderField(TestHeaderNames.NAMES.responseStamp(), instance));
        exchange.respond(new HttpResponseMessage(status, headers, body.getBytes(StandardCharsets.UTF_8)));
    }

    void reject(HttpExchange exchange) {
        respond(exchange, 503, "", new HeaderField(TestHeaderNames.NAMES.notExecuted(), "1"));
    }

    void execute(Runnable task) {
        loop.execute(task);
    }

    @Override
    public void close() throws Exception {
        loop.close();
        thread.join();
    }

    private void onRequest(HttpExchange exchange) {
        if (exchange.getRequest().target().equals("/health")) {
            exchange.respond(
                    HttpResponseMessage.ofEmpty(200, new HeaderField(TestHeaderNames.NAMES.instance(), instance)));
            return;
        }
        arrived.add(exchange);
        behaviour.accept(exchange);
    }
}
