package io.cranberryarch.mesh;

import io.cranberryarch.decision.serving.LongPollSchedule;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.settings.SettingsException;
import io.cranberryarch.settings.serving.ServingRules;
import io.cranberryarch.settings.serving.ServingRulesValidator;
import io.cranberryarch.wire.RulesRequestMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Tracks the operators' document in the platform's store and on peers that have a newer version. A version older than
 * the one in force is never applied.
 */
final class RulesService {

    private static final long INITIAL_RETRY_DELAY_MS = 200;
    private static final long MAX_RETRY_DELAY_MS = 1_600;
    private static final long PEER_REQUEST_INTERVAL_MS = 300;

    /** The maximum number of faults of a rejected document that are logged. */
    private static final int MAX_LOGGED_FAULTS = 5;

    private final EventLoop loop;
    private final SharedStore store;
    private final RulesReader reader;
    private final PeerDirectory peers;
    private final EventLog log;
    private final List<Runnable> listeners = new ArrayList<>();
    private Optional<ServingRules> rules = Optional.empty();
    private Optional<byte[]> document = Optional.empty();
    private long retryDelayMs;
    private long lastPeerRequestAtMs;
    private boolean isStoreLost;
    private long lastStoreResponseAtMs;
    private long rulesChangedAtMs;
    private Optional<Poll> poll = Optional.empty();

    RulesService(EventLoop loop, SharedStore store, RulesReader reader, PeerDirectory peers, EventLog log) {
        this.loop = loop;
        this.store = store;
        this.reader = reader;
        this.peers = peers;
        this.log = log;
        this.lastStoreResponseAtMs = loop.nowMs();
        this.rulesChangedAtMs = loop.nowMs();
        store.addRestoreListener(this::onStoreRestored);
    }

    void addListener(Runnable listener) {
        listeners.add(listener);
    }

    void start() {
        read();
    }

    Optional<ServingRules> getRules() {
        return rules;
    }

    long getVersion() {
        return rules.map(ServingRules::getVersion).orElse(-1L);
    }

    /** Returns the milliseconds since the rules in force were applied, or since the start if there are none. */
    long getAgeMs() {
        return loop.nowMs() - rulesChangedAtMs;
    }

    /** Returns the milliseconds since the last response of the store, which responds to each poll. */
    long getStoreAgeMs() {
        return loop.nowMs() - lastStoreResponseAtMs;
    }

    /** Reads the document once, beside the poll, and applies it. */
    void refresh(SharedStore.Callback<Void> callback) {
        store.readDocument(new SharedStore.Callback<>() {
            @Override
            public void onResult(Optional<byte[]> found, long revision) {
                onStoreResponse();
                found.ifPresent(bytes -> onDocument(bytes, "store"));
                callback.onResult(null, revision);
            }

            @Override
            public void onFailure(SharedStore.StoreFailure failure) {
                onStoreFailure(failure);
                callback.onFailure(failure);
            }
        });
    }

    Optional<byte[]> getDocument() {
        return document;
    }

    void onPeerVersion(Peer peer, long version) {
        boolean isRequestDue = loop.nowMs() - lastPeerRequestAtMs >= PEER_REQUEST_INTERVAL_MS;
        if (version > getVersion() && isRequestDue) {
            lastPeerRequestAtMs = loop.nowMs();
            peer.getLink().ifPresent(link -> link.send(new RulesRequestMessage()));
        }
    }

    /**
     * Polls the store again if the current poll ends too late, as the nodes whose polls would have ended before it are
     * lost.
     */
    void onPeerLost() {
        if (poll.isEmpty()) {
            return;
        }
        Poll current = poll.get();
        long maxWaitMs = LongPollSchedule.toMaxWaitMs(peers.countConnected() + 1) + LongPollSchedule.INTERVAL_MS;
        if (current.endsAtMs() - loop.nowMs() > maxWaitMs) {
            current.cancel().run();
            await(current.revision());
        }
    }

    /** Reads the document again if a poll is in progress, as the revision that it waits for may be given out again. */
    private void onStoreRestored() {
        if (poll.isPresent()) {
            poll.get().cancel().run();
            poll = Optional.empty();
            read();
        }
    }

    /** Applies a document from the store or from a peer if it is newer than the one in force. */
    void onDocument(byte[] bytes, String source) {
        ServingRules read;
        try {
            read = reader.read(bytes);
            ServingRulesValidator.validate(read);
        } catch (SettingsException e) {
            List<String> faults = e.getFaults();
            String cause = String.join("; ", faults.subList(0, Math.min(MAX_LOGGED_FAULTS, faults.size())));
            log.info("event=rules-rejected source=" + source + " version-in-force=" + getVersion() + " faults="
                    + faults.size() + " cause=\"" + cause + "\"");
            return;
        }
        if (read.getVersion() <= getVersion()) {
            return;
        }
        log.info("event=rules-changed source=" + source + " from=" + getVersion() + " to=" + read.getVersion()
                + " routes=" + read.getRoutes().size() + " accounts="
                + read.getAccounts().size());
        rules = Optional.of(read);
        rulesChangedAtMs = loop.nowMs();
        document = Optional.of(bytes);
        for (Runnable listener : listeners) {
            listener.run();
        }
    }

    private void read() {
        store.readDocument(new SharedStore.Callback<>() {
            @Override
            public void onResult(Optional<byte[]> found, long revision) {
                onStoreResponse();
                found.ifPresent(bytes -> onDocument(bytes, "store"));
                await(revision);
            }

            @Override
            public void onFailure(SharedStore.StoreFailure failure) {
                onStoreFailure(failure);
                retry(RulesService.this::read);
            }
        });
    }

    private void await(long revision) {
        long waitMs =
                LongPollSchedule.toWaitMs(store.nowMs(), peers.countConnectedBeforeSelf(), peers.countConnected() + 1);
        Runnable cancel = store.awaitDocument(revision, waitMs, new SharedStore.Callback<>() {
            @Override
            public void onResult(Optional<byte[]> found, long newRevision) {
                poll = Optional.empty();
                onStoreResponse();
                found.ifPresent(bytes -> onDocument(bytes, "store"));
                await(newRevision);
            }

            @Override
            public void onFailure(SharedStore.StoreFailure failure) {
                poll = Optional.empty();
                onStoreFailure(failure);
                if (failure.isHistoryCompacted()) {
                    read();
                } else {
                    // Reads the document again, as changes may have been missed while the store was unavailable.
                    retry(RulesService.this::read);
                }
            }
        });
        poll = Optional.of(new Poll(revision, loop.nowMs() + waitMs, cancel));
    }

    private void retry(Runnable call) {
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, Math.max(INITIAL_RETRY_DELAY_MS, retryDelayMs * 2));
        // Jitter over half of the delay, so that the nodes do not retry all at once.
        long delayMs = retryDelayMs / 2 + Math.round(Math.random() * retryDelayMs / 2);
        loop.schedule(delayMs, call);
    }

    private void onStoreResponse() {
        retryDelayMs = 0;
        lastStoreResponseAtMs = loop.nowMs();
        if (isStoreLost) {
            isStoreLost = false;
            log.info("event=store-regained version-in-force=" + getVersion());
        }
    }

    private void onStoreFailure(SharedStore.StoreFailure failure) {
        if (!isStoreLost) {
            isStoreLost = true;
            log.info("event=store-lost cause=\"" + failure.cause() + "\" silent-ms=" + getStoreAgeMs()
                    + " version-in-force=" + getVersion());
        }
    }

    /**
     * A call that waits for a change.
     *
     * @param revision the revision of the store after which a change is reported
     * @param endsAtMs when the store responds at the latest, in milliseconds of the monotonic clock
     * @param cancel cancels the call
     */
    private record Poll(long revision, long endsAtMs, Runnable cancel) {}
}
