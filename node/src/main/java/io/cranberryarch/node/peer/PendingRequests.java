package io.cranberryarch.node.peer;

import io.cranberryarch.wire.Message;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** The requests on a connection that wait for their answers. Thread-safe. */
final class PendingRequests {

    private final Map<Long, CompletableFuture<Message>> answers = new ConcurrentHashMap<>();

    void add(long id, CompletableFuture<Message> answer) {
        answers.put(id, answer);
    }

    /** Drops a request; a late answer to it is ignored. */
    void remove(long id) {
        answers.remove(id);
    }

    boolean isEmpty() {
        return answers.isEmpty();
    }

    void complete(long id, Message message) {
        CompletableFuture<Message> answer = answers.remove(id);
        if (answer != null) {
            answer.complete(message);
        }
    }

    /**
     * Fails a request.
     *
     * @param id the number of the request
     * @param reason what happened
     * @param isSent whether the peer may have got it
     */
    void fail(long id, String reason, boolean isSent) {
        CompletableFuture<Message> answer = answers.remove(id);
        if (answer != null) {
            answer.completeExceptionally(new PeerLostException(reason, isSent));
        }
    }

    /** Fails the requests after a number, which the peer may have got or not. */
    void failAfter(long lastId, String reason, boolean isSent) {
        for (Long id : answers.keySet()) {
            if (id > lastId) {
                fail(id, reason, isSent);
            }
        }
    }
}
