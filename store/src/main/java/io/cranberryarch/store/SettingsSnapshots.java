package io.cranberryarch.store;

import io.cranberryarch.base.Digests;
import io.cranberryarch.settings.SettingTree;
import java.io.IOException;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Stores a complete version of the settings in the object store, so that a new node need not read the whole log.
 *
 * <p>The log remains complete. A missing, corrupt or old snapshot only slows down the start of a node.
 */
public final class SettingsSnapshots {

    private static final String OBJECT_NAME = "settings/snapshot";

    private final ObjectStore objects;

    /**
     * Creates a reader and writer of the snapshot.
     *
     * @param objects the object store, not {@code null}
     */
    public SettingsSnapshots(ObjectStore objects) {
        this.objects = objects;
    }

    /**
     * Reads the snapshot.
     *
     * @return the tree, or empty if there is no snapshot or it is corrupt
     * @throws PlatformException if the store does not answer
     */
    public Optional<SettingTree> read() throws PlatformException {
        Optional<byte[]> content = objects.getObject(OBJECT_NAME);
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
     * Writes the snapshot and replaces the earlier one.
     *
     * @param tree the tree, not {@code null}
     * @throws PlatformException if the store does not answer
     */
    public void write(SettingTree tree) throws PlatformException {
        SortedMap<String, String> values = new TreeMap<>(tree.getValues());
        Body body = new Body(tree.getVersion(), values, toDigest(tree.getVersion(), values));
        try {
            objects.put(OBJECT_NAME, PlatformJson.MAPPER.writeValueAsBytes(body));
        } catch (IOException e) {
            throw new PlatformException("failed to serialize the settings snapshot", e);
        }
    }

    private static String toDigest(long version, SortedMap<String, String> values) {
        return Digests.toSha256Hex(version + " " + values);
    }

    /** The JSON body of a snapshot. */
    private record Body(long version, SortedMap<String, String> values, String sha256) {}
}
