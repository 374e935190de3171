package io.cranberryarch.mesh;

import io.cranberryarch.context.HeaderField;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.HttpClientConnection;
import io.cranberryarch.net.HttpClientPool;
import io.cranberryarch.net.HttpFailure;
import io.cranberryarch.net.HttpRequestMessage;
import io.cranberryarch.net.HttpResponseMessage;
import io.cranberryarch.settings.serving.ServiceRule;
import java.util.List;
import java.util.Optional;

/** Asks an upstream that has not reported yet who it is, so that a restarted node need not wait for its next report. */
final class UpstreamProbe {

    /** How long an answer is awaited; the upstream's next report tells the same. */
    private static final long TIMEOUT_MS = 1_500;

    private final EventLoop loop;
    private final HttpClientPool connections;
    private final HeaderNames names;
    private final UpstreamState upstream;
    private final EventLog log;

    UpstreamProbe(EventLoop loop, HttpClientPool connections, HeaderNames names, UpstreamState upstream, EventLog log) {
        this.loop = loop;
        this.connections = connections;
        this.names = names;
        this.upstream = upstream;
        this.log = log;
    }

    /**
     * Sends a health check unless the upstream is known.
     *
     * @param service the service that the upstream should run
     */
    void send(ServiceRule service) {
        if (upstream.isKnown()) {
            return;
        }
        HttpRequestMessage question = new HttpRequestMessage(
                "GET", service.healthPath(), List.of(new HeaderField("Host", service.name())), new byte[0], false);
        Answer answer = new Answer(service);
        HttpClientConnection connection = connections.send(question, response -> true, answer);
        answer.timeout = Optional.of(loop.schedule(TIMEOUT_MS, () -> {
            connection.cancel();
            answer.onFailure(HttpFailure.MAY_HAVE_RUN, "no answer");
        }));
    }

    /** The outcome of one health check. */
    private final class Answer implements HttpClientConnection.Callback {

        private final ServiceRule service;
        private Optional<EventLoop.Timer> timeout = Optional.empty();

        Answer(ServiceRule service) {
            this.service = service;
        }

        @Override
        public void onResponse(HttpResponseMessage response) {
            timeout.ifPresent(EventLoop.Timer::cancel);
            response.findHeader(names.instance())
                    .filter(instance -> response.status() == 200)
                    .ifPresent(instance -> upstream.onProbed(instance, service.name()));
        }

        @Override
        public void onFailure(HttpFailure failure, String cause) {
            timeout.ifPresent(EventLoop.Timer::cancel);
            log.info("event=probe-failed cause=\"" + cause + "\"");
        }
    }
}
