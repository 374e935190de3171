package io.cranberryarch.mesh;

import io.cranberryarch.net.EventLoop;
import io.cranberryarch.settings.SettingsException;
import io.cranberryarch.settings.serving.ServingRules;
import io.cranberryarch.wire.RulesRequestMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Follows the operators' document: from the platform's store, and from peers that have a newer version. A version that
 * is older than the one in force is never taken.
 */
final class RulesService {

    private static final long WAIT_MS = 28_000;
    private static final long FIRST_RETRY_MS = 200;
    private static final long MAX_RETRY_MS = 1_600;
    private static final long PEER_REQUEST_INTERVAL_MS = 300;

    private final EventLoop loop;
    private final SharedStore store;
    private final RulesReader reader;
    private final EventLog log;
    private final List<Runnable> listeners = new ArrayList<>();
    private Optional<ServingRules> rules = Optional.empty();
    private Optional<byte[]> document = Optional.empty();
    private long retryMs;
    private long peerRequestAtMs;
    private boolean isStoreLost;
    private long storeAnsweredAtMs;
    private long changedAtMs;

    RulesService(EventLoop loop, SharedStore store, RulesReader reader, EventLog log) {
        this.loop = loop;
        this.store = store;
        this.reader = reader;
        this.log = log;
        this.storeAnsweredAtMs = loop.nowMs();
        this.changedAtMs = loop.nowMs();
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

    /** Gets the milliseconds since the rules in force were taken, or since the start if there are none. */
    long getAgeMs() {
        return loop.nowMs() - changedAtMs;
    }

    /** Gets the milliseconds since the store last answered; it does so within {@link #WAIT_MS}. */
    long getStoreAgeMs() {
        return loop.nowMs() - storeAnsweredAtMs;
    }

    Optional<byte[]> getDocument() {
        return document;
    }

    void onPeerVersion(Peer peer, long version) {
        boolean isRequestDue = loop.nowMs() - peerRequestAtMs >= PEER_REQUEST_INTERVAL_MS;
        if (version > getVersion() && isRequestDue) {
            peerRequestAtMs = loop.nowMs();
            peer.getLink().ifPresent(link -> link.send(new RulesRequestMessage()));
        }
    }

    /** Takes a document from the store or from a peer if it is newer than the one in force. */
    void onDocument(byte[] bytes, String source) {
        ServingRules read;
        try {
            read = reader.read(bytes);
        } catch (SettingsException e) {
            log.info("event=rules-rejected source=" + source + " version-in-force=" + getVersion() + " cause=\""
                    + e.getMessage() + "\"");
            return;
        }
        if (read.getVersion() <= getVersion()) {
            return;
        }
        log.info("event=rules-changed source=" + source + " from=" + getVersion() + " to=" + read.getVersion()
                + " routes=" + read.getRoutes().size() + " accounts="
                + read.getAccounts().size());
        rules = Optional.of(read);
        changedAtMs = loop.nowMs();
        document = Optional.of(bytes);
        for (Runnable listener : listeners) {
            listener.run();
        }
    }

    private void read() {
        store.readDocument(new SharedStore.Callback<>() {
            @Override
            public void onResult(Optional<byte[]> found, long revision) {
                onStoreAnswered();
                found.ifPresent(bytes -> onDocument(bytes, "store"));
                await(revision);
            }

            @Override
            public void onFailure(SharedStore.StoreFailure failure) {
                onStoreFailed(failure);
                retry(RulesService.this::read);
            }
        });
    }

    private void await(long revision) {
        store.awaitDocument(revision, WAIT_MS, new SharedStore.Callback<>() {
            @Override
            public void onResult(Optional<byte[]> found, long newRevision) {
                onStoreAnswered();
                found.ifPresent(bytes -> onDocument(bytes, "store"));
                await(newRevision);
            }

            @Override
            public void onFailure(SharedStore.StoreFailure failure) {
                onStoreFailed(failure);
                if (failure.isHistoryCompacted()) {
                    read();
                } else {
                    // Reading anew, as changes may have been missed while the store was away.
                    retry(RulesService.this::read);
                }
            }
        });
    }

    private void retry(Runnable call) {
        retryMs = Math.min(MAX_RETRY_MS, Math.max(FIRST_RETRY_MS, retryMs * 2));
        // Spread over half of the delay, so that the nodes do not come back all at once.
        long delayMs = retryMs / 2 + Math.round(Math.random() * retryMs / 2);
        loop.schedule(delayMs, call);
    }

    private void onStoreAnswered() {
        retryMs = 0;
        storeAnsweredAtMs = loop.nowMs();
        if (isStoreLost) {
            isStoreLost = false;
            log.info("event=store-regained version-in-force=" + getVersion());
        }
    }

    private void onStoreFailed(SharedStore.StoreFailure failure) {
        if (!isStoreLost) {
            isStoreLost = true;
            log.info("event=store-lost cause=\"" + failure.cause() + "\" version-in-force=" + getVersion());
        }
    }
}
