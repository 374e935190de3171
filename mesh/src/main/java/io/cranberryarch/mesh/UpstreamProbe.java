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

/**
 * Identifies an upstream that has not reported yet by a health check, so that a restarted node need not wait for the
 * upstream's next report.
 */
final class UpstreamProbe {

    /** The timeout of a health check; the upstream's next report carries the same information. */
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
     * @param service the service that the upstream is expected to run
     */
    void send(ServiceRule service) {
        if (upstream.isKnown()) {
            return;
        }
        HttpRequestMessage healthCheck = new HttpRequestMessage(
                "GET", service.healthPath(), List.of(new HeaderField("Host", service.name())), new byte[0], false);
        ProbeCallback callback = new ProbeCallback(service);
        HttpClientConnection connection = connections.send(healthCheck, response -> true, callback);
        callback.timeout = Optional.of(loop.schedule(TIMEOUT_MS, () -> {
            connection.cancel();
            callback.onFailure(HttpFailure.MAY_HAVE_RUN, "no answer");
        }));
    }

    /** Handles the outcome of one health check. */
    private final class ProbeCallback implements HttpClientConnection.Callback {

        private final ServiceRule service;
        private Optional<EventLoop.Timer> timeout = Optional.empty();

        ProbeCallback(ServiceRule service) {
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
