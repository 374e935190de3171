package io.cranberryarch.node.peer;

import io.cranberryarch.wire.Message;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** The requests on a connection that wait for responses. Thread-safe. */
final class PendingRequests {

    private final Map<Long, CompletableFuture<Message>> responses = new ConcurrentHashMap<>();

    void add(long id, CompletableFuture<Message> response) {
        responses.put(id, response);
    }

    /** Removes a request. A late response to it is ignored. */
    void remove(long id) {
        responses.remove(id);
    }

    boolean isEmpty() {
        return responses.isEmpty();
    }

    void complete(long id, Message message) {
        CompletableFuture<Message> response = responses.remove(id);
        if (response != null) {
            response.complete(message);
        }
    }

    /**
     * Fails a request.
     *
     * @param id the identifier of the request
     * @param reason the reason of the failure
     * @param isSent whether the peer may have received the request
     */
    void fail(long id, String reason, boolean isSent) {
        CompletableFuture<Message> response = responses.remove(id);
        if (response != null) {
            response.completeExceptionally(new PeerLostException(reason, isSent));
        }
    }

    /** Fails the requests with identifiers greater than the given one. */
    void failAfter(long lastId, String reason, boolean isSent) {
        for (Long id : responses.keySet()) {
            if (id > lastId) {
                fail(id, reason, isSent);
            }
        }
    }
}
