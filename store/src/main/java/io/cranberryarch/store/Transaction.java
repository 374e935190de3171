package io.cranberryarch.store;

import java.util.ArrayList;
import java.util.List;

/**
 * A set of writes that take effect atomically if all conditions hold.
 *
 * <pre>
 * Transaction transaction = new Transaction().requireVersion("a", 3).put("a", "new value");
 * </pre>
 */
public final class Transaction {

    /** The required version of a row that must not exist. */
    public static final long ABSENT = 0;

    private final List<Condition> conditions = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();

    /**
     * Adds a condition on the version of a row.
     *
     * @param key the key of the row
     * @param version the required version, {@link #ABSENT} if the row must not exist
     * @return this transaction
     */
    public Transaction requireVersion(String key, long version) {
        conditions.add(new Condition(key, version));
        return this;
    }

    /**
     * Adds a write of a row.
     *
     * @param key the key of the row
     * @param value the new value
     * @return this transaction
     */
    public Transaction put(String key, String value) {
        writes.add(new Write(key, value));
        return this;
    }

    /**
     * Returns the conditions.
     *
     * @return the conditions, unmodifiable
     */
    public List<Condition> getConditions() {
        return List.copyOf(conditions);
    }

    /**
     * Returns the writes.
     *
     * @return the writes, unmodifiable
     */
    public List<Write> getWrites() {
        return List.copyOf(writes);
    }

    /**
     * A condition on the version of a row.
     *
     * @param key the key of the row
     * @param version the required version, {@link #ABSENT} if the row must not exist
     */
    public record Condition(String key, long version) {}

    /**
     * A write of a row.
     *
     * @param key the key of the row
     * @param value the new value
     */
    public record Write(String key, String value) {}
}
