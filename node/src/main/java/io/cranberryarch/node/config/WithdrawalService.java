package io.cranberryarch.node.config;

import io.cranberryarch.decision.key.WithdrawnKeys;
import io.cranberryarch.node.metrics.NodeMetrics;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.WithdrawalStore;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.tinylog.Logger;

/** Holds the withdrawn keys. A withdrawal takes effect immediately, and is stored when the platform is reachable. */
final class WithdrawalService {

    private static final int MAX_STORE_BATCH_SIZE = 100;

    private final WithdrawalStore store;
    private final NodeMetrics metrics;
    private final WithdrawnKeys keys = new WithdrawnKeys();
    private volatile Set<String> keyIdsInEffect = Set.of();

    WithdrawalService(WithdrawalStore store, NodeMetrics metrics) {
        this.store = store;
        this.metrics = metrics;
    }

    boolean contains(String keyId) {
        return keyIdsInEffect.contains(keyId);
    }

    boolean add(Collection<String> keyIds) {
        synchronized (keys) {
            if (!keys.add(keyIds)) {
                return false;
            }
            keyIdsInEffect = Set.copyOf(keys.getAll());
        }
        metrics.getRegistry().counter("key_withdrawals").inc();
        Logger.info("keys-withdrawn keys={}", keyIds);
        return true;
    }

    List<String> getAll() {
        synchronized (keys) {
            return keys.getAll();
        }
    }

    long getDigest() {
        synchronized (keys) {
            return keys.getDigest();
        }
    }

    List<String> selectForRequest() {
        synchronized (keys) {
            return keys.toRequest();
        }
    }

    List<String> selectForResponse(long peerDigest) {
        synchronized (keys) {
            return keys.toAnswer(peerDigest);
        }
    }

    void onResponse(long peerDigest) {
        synchronized (keys) {
            keys.onAnswer(peerDigest);
        }
    }

    /** Stores keys that are not confirmed as stored in the platform. Blocks. */
    void storeNew() throws PlatformException {
        List<String> unstored;
        synchronized (keys) {
            unstored = keys.findUnstored();
        }
        if (unstored.isEmpty()) {
            return;
        }
        List<String> batch = unstored.subList(0, Math.min(MAX_STORE_BATCH_SIZE, unstored.size()));
        store.store(batch);
        synchronized (keys) {
            keys.onStored(batch);
        }
        Logger.info("keys-withdrawn-stored keys={}", batch);
    }

    /** Reads all keys from the platform. Blocks. */
    boolean readAll() throws PlatformException {
        List<String> stored = store.readAll();
        boolean isNew = add(stored);
        synchronized (keys) {
            keys.onStored(stored);
        }
        return isNew;
    }
}
