package io.cranberryarch.settings;

import java.util.Collections;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * An immutable version of all shared settings.
 *
 * <pre>
 * SettingTree next = SettingTree.EMPTY.apply(change);
 * next.get("/teams/orders/accounts/acme/rate");
 * </pre>
 */
public final class SettingTree {

    /** The tree before the first change. */
    public static final SettingTree EMPTY = new SettingTree(0, new TreeMap<>());

    private final long version;
    private final NavigableMap<String, String> values;

    private SettingTree(long version, NavigableMap<String, String> values) {
        this.version = version;
        this.values = Collections.unmodifiableNavigableMap(values);
    }

    /**
     * Creates a tree from a snapshot.
     *
     * @param version the version of the snapshot, not negative
     * @param values the values by path, copied
     * @return the tree
     */
    public static SettingTree of(long version, SortedMap<String, String> values) {
        return new SettingTree(version, new TreeMap<>(values));
    }

    /**
     * Applies the next change and returns the resulting tree.
     *
     * @param change the change, whose version must be one greater than that of this tree
     * @return the new tree
     * @throws IllegalArgumentException if the change is not the next one
     */
    public SettingTree apply(SettingChange change) {
        if (change.version() != version + 1) {
            throw new IllegalArgumentException("change " + change.version() + " does not follow version " + version);
        }
        NavigableMap<String, String> next = new TreeMap<>(values);
        for (SettingEdit edit : change.edits()) {
            String path = edit.path().toString();
            if (edit.value().isPresent()) {
                next.put(path, edit.value().get());
            } else {
                next.remove(path);
            }
        }
        return new SettingTree(change.version(), next);
    }

    /**
     * Returns the value of a path.
     *
     * @param path the path as text, not {@code null}
     * @return the value, or empty if the path is not set
     */
    public Optional<String> get(String path) {
        return Optional.ofNullable(values.get(path));
    }

    /**
     * Returns all values.
     *
     * @return the values by path, unmodifiable
     */
    public NavigableMap<String, String> getValues() {
        return values;
    }

    /**
     * Returns the values of a subtree.
     *
     * @param prefix the path of the subtree, "/" for all values
     * @return the values by path, unmodifiable
     */
    public SortedMap<String, String> getValues(String prefix) {
        if (prefix.equals("/")) {
            return values;
        }
        return values.subMap(prefix, true, prefix + "/" + Character.MAX_VALUE, true);
    }

    /**
     * Returns the version.
     *
     * @return the number of changes since the empty tree
     */
    public long getVersion() {
        return version;
    }
}
