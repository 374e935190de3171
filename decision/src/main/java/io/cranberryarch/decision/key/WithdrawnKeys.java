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
 * The keys known to be withdrawn: a set that only grows, so that any node may add to it without asking another one.
 *
 * <p>Nodes compare digests; equal ones need no exchange. Keys not yet known to be stored in the platform are listed
 * for storing. Not thread-safe.
 *
 * <pre>
 * keys.add(List.of("k1"));
 * List&lt;String&gt; answer = keys.toAnswer(peerDigest); // all keys if the peer's differ
 * </pre>
 */
public final class WithdrawnKeys {

    private static final int TRANSMITS = 24;

    private final Set<String> ids = new TreeSet<>();
    private final Set<String> unstored = new HashSet<>();
    private final Map<String, Integer> transmitsLeft = new HashMap<>();
    private long digest;
    private boolean differing;

    /**
     * Adds keys.
     *
     * @param keyIds public identifiers
     * @return whether one of them was not known
     */
    public boolean add(Collection<String> keyIds) {
        boolean isNew = false;
        for (String id : keyIds) {
            if (ids.add(id)) {
                digest ^= Hashing.komihash5_0().hashCharsToLong(id);
                unstored.add(id);
                transmitsLeft.put(id, TRANSMITS);
                isNew = true;
            }
        }
        return isNew;
    }

    /**
     * Checks a key.
     *
     * @param keyId the public identifier
     * @return whether it was withdrawn
     */
    public boolean contains(String keyId) {
        return ids.contains(keyId);
    }

    /**
     * Gets all keys.
     *
     * @return public identifiers in ascending order
     */
    public List<String> getAll() {
        return List.copyOf(ids);
    }

    /**
     * Gets the digest of all keys.
     *
     * @return the same number for the same keys
     */
    public long getDigest() {
        return digest;
    }

    /**
     * Chooses what to tell a peer first.
     *
     * @return keys withdrawn lately, or all after a peer was seen to lack some
     */
    public List<String> toRequest() {
        if (differing) {
            differing = false;
            return getAll();
        }
        List<String> recent = new ArrayList<>(transmitsLeft.keySet());
        transmitsLeft.replaceAll((id, left) -> left - 1);
        transmitsLeft.values().removeIf(left -> left <= 0);
        return recent;
    }

    /**
     * Chooses what to answer a peer, after its keys were added.
     *
     * @param peerDigest the digest of the peer
     * @return nothing if the peer knows the same keys, else all
     */
    public List<String> toAnswer(long peerDigest) {
        return peerDigest == digest ? List.of() : getAll();
    }

    /**
     * Notes the digest of a peer's answer, after its keys were added.
     *
     * @param peerDigest the digest of the peer
     */
    public void onAnswer(long peerDigest) {
        differing |= peerDigest != digest;
    }

    /**
     * Lists the keys that are not known to be stored in the platform.
     *
     * @return public identifiers
     */
    public List<String> findUnstored() {
        return List.copyOf(unstored);
    }

    /**
     * Notes that keys are stored in the platform.
     *
     * @param keyIds public identifiers
     */
    public void onStored(Collection<String> keyIds) {
        add(keyIds);
        unstored.removeAll(keyIds);
    }
}
