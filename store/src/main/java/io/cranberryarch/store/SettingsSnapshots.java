package io.cranberryarch.store;

import io.cranberryarch.base.Digests;
import io.cranberryarch.settings.SettingTree;
import java.io.IOException;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A whole version of the settings in the object store, so that a new node need not read the log from its beginning.
 *
 * <p>The log stays complete. A snapshot that is lost, damaged or old only makes the start of a node slower.
 */
public final class SettingsSnapshots {

    private static final String NAME = "settings/snapshot";

    private final ObjectStore objects;

    /**
     * Creates the access to the snapshot.
     *
     * @param objects the object store, not {@code null}
     */
    public SettingsSnapshots(ObjectStore objects) {
        this.objects = objects;
    }

    /**
     * Reads the snapshot.
     *
     * @return the tree, or empty if there is none or it is damaged
     * @throws PlatformException if the store gives no answer
     */
    public Optional<SettingTree> read() throws PlatformException {
        Optional<byte[]> content = objects.getObject(NAME);
        if (content.isEmpty()) {
            return Optional.empty();
        }
        try {
            Body body = PlatformJson.MAPPER.readValue(content.get(), Body.class);
            boolean isIntact = body.values() != null
                    && body.version() > 0
                    && toDigest(body.version(), body.values()).equals(body.sha256());
            return isIntact ? Optional.of(SettingTree.of(body.version(), body.values())) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * Replaces the snapshot.
     *
     * @param tree the tree
     * @throws PlatformException if the store gives no answer
     */
    public void write(SettingTree tree) throws PlatformException {
        SortedMap<String, String> values = new TreeMap<>(tree.getValues());
        Body body = new Body(tree.getVersion(), values, toDigest(tree.getVersion(), values));
        try {
            objects.put(NAME, PlatformJson.MAPPER.writeValueAsBytes(body));
        } catch (IOException e) {
            throw new PlatformException("the snapshot cannot be written", e);
        }
    }

    private static String toDigest(long version, SortedMap<String, String> values) {
        return Digests.toSha256Hex(version + " " + values);
    }

    /** A snapshot as JSON. */
    private record Body(long version, SortedMap<String, String> values, String sha256) {}
}
