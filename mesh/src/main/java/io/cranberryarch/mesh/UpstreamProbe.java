package io.cranberryarch.mesh;

import io.cranberryarch.context.HeaderField;
import io.cranberryarch.net.HttpClientConnection;
import io.cranberryarch.net.HttpClientPool;
import io.cranberryarch.net.HttpFailure;
import io.cranberryarch.net.HttpRequestMessage;
import io.cranberryarch.net.HttpResponseMessage;
import io.cranberryarch.settings.serving.ServiceRule;
import java.util.List;

/** Asks an upstream that has not reported yet who it is, so that a restarted node need not wait for its next report. */
final class UpstreamProbe {

    private final HttpClientPool connections;
    private final HeaderNames names;
    private final UpstreamState upstream;
    private final EventLog log;

    UpstreamProbe(HttpClientPool connections, HeaderNames names, UpstreamState upstream, EventLog log) {
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
        connections.send(question, response -> true, new HttpClientConnection.Callback() {
            @Override
            public void onResponse(HttpResponseMessage response) {
                response.findHeader(names.instance())
                        .filter(instance -> response.status() == 200)
                        .ifPresent(instance -> upstream.onProbed(instance, service.name()));
            }

            @Override
            public void onFailure(HttpFailure failure, String cause) {
                log.state("event=probe-failed cause=\"" + cause + "\"");
            }
        });
    }
}
