package io.cranberryarch.decision.key;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The withdrawn keys at one node: a grow-only set, so that any node may add keys without coordination with others.
 *
 * <p>Nodes compare digests and exchange keys only if these differ. Keys not confirmed as stored in the platform are
 * listed for storage. Not thread-safe.
 *
 * <pre>
 * keys.add(List.of("k1"));
 * List&lt;String&gt; answer = keys.toAnswer(peerDigest); // all keys if the digests differ
 * </pre>
 */
public final class WithdrawnKeys {

    private static final int MAX_TRANSMISSIONS = 24;

    private final Set<String> ids = new TreeSet<>();
    private final Set<String> unstored = new HashSet<>();
    private final Map<String, Integer> remainingTransmissions = new HashMap<>();
    private long digest;
    private boolean isFullSyncDue;

    /**
     * Adds keys.
     *
     * @param keyIds public identifiers, not {@code null}
     * @return whether at least one of them was new
     */
    public boolean add(Collection<String> keyIds) {
        boolean isNew = false;
        for (String id : keyIds) {
            if (ids.add(id)) {
                digest ^= Hashing.komihash5_0().hashCharsToLong(id);
                unstored.add(id);
                remainingTransmissions.put(id, MAX_TRANSMISSIONS);
                isNew = true;
            }
        }
        return isNew;
    }

    /**
     * Checks whether a key was withdrawn.
     *
     * @param keyId the public identifier, not {@code null}
     * @return whether it was withdrawn
     */
    public boolean contains(String keyId) {
        return ids.contains(keyId);
    }

    /**
     * Returns all withdrawn keys.
     *
     * @return public identifiers in ascending order
     */
    public List<String> getAll() {
        return List.copyOf(ids);
    }

    /**
     * Returns the digest of all keys.
     *
     * @return a digest that is equal for equal sets of keys
     */
    public long getDigest() {
        return digest;
    }

    /**
     * Selects the keys for the next request to a peer.
     *
     * @return recently added keys, or all keys after an answer with a differing digest
     */
    public List<String> toRequest() {
        if (isFullSyncDue) {
            isFullSyncDue = false;
            return getAll();
        }
        List<String> recent = new ArrayList<>(remainingTransmissions.keySet());
        remainingTransmissions.replaceAll((id, left) -> left - 1);
        remainingTransmissions.values().removeIf(left -> left <= 0);
        return recent;
    }

    /**
     * Selects the keys for the answer to a peer, after the keys of the peer were added.
     *
     * @param peerDigest the digest of the peer
     * @return an empty list if the peer has the same keys, else all keys
     */
    public List<String> toAnswer(long peerDigest) {
        return peerDigest == digest ? List.of() : getAll();
    }

    /**
     * Compares the digest of a peer's answer, after the keys of the answer were added.
     *
     * @param peerDigest the digest of the peer
     */
    public void onAnswer(long peerDigest) {
        isFullSyncDue |= peerDigest != digest;
    }

    /**
     * Returns the keys that are not confirmed as stored in the platform.
     *
     * @return public identifiers
     */
    public List<String> findUnstored() {
        return List.copyOf(unstored);
    }

    /**
     * Records that keys are stored in the platform.
     *
     * @param keyIds public identifiers, not {@code null}
     */
    public void onStored(Collection<String> keyIds) {
        add(keyIds);
        unstored.removeAll(keyIds);
    }
}
