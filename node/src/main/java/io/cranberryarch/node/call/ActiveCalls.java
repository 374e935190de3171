package io.cranberryarch.node.call;

import io.cranberryarch.base.Digests;
import io.cranberryarch.context.CallTokenIssuer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Registry of the calls in execution at the upstream, indexed by the token that it forwards. Thread-safe. */
public final class ActiveCalls {

    private static final int SECRET_BYTES = 32;

    private final CallTokenIssuer tokens = new CallTokenIssuer(Digests.randomBytes(SECRET_BYTES));
    private final AtomicLong nextId = new AtomicLong(1);
    private final Map<Long, ActiveCall> calls = new ConcurrentHashMap<>();

    long add(ActiveCall call) {
        long id = nextId.getAndIncrement();
        calls.put(id, call);
        return id;
    }

    void remove(long id) {
        calls.remove(id);
    }

    String issueToken(long id) {
        return tokens.issue(id);
    }

    /**
     * Finds the call that a token identifies.
     *
     * @param token the token, not {@code null}
     * @return the call, or empty if the token is invalid or the call has ended
     */
    public Optional<ActiveCall> find(String token) {
        return tokens.verify(token).map(calls::get);
    }
}
