package io.cranberryarch.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Writes that take effect together, if all conditions hold.
 *
 * <pre>
 * Transaction transaction = new Transaction().requireVersion("a", 3).put("a", "new value");
 * </pre>
 */
public final class Transaction {

    /** The version that a row must have when it must not exist. */
    public static final long ABSENT = 0;

    private final List<Condition> conditions = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();

    /**
     * Requires a version of a row.
     *
     * @param key the row
     * @param version its version, {@link #ABSENT} if it must not exist
     * @return this transaction
     */
    public Transaction requireVersion(String key, long version) {
        conditions.add(new Condition(key, version));
        return this;
    }

    /**
     * Writes a row.
     *
     * @param key the row
     * @param value the value
     * @return this transaction
     */
    public Transaction put(String key, String value) {
        writes.add(new Write(key, value));
        return this;
    }

    /**
     * Gets the conditions.
     *
     * @return the conditions, unmodifiable
     */
    public List<Condition> getConditions() {
        return List.copyOf(conditions);
    }

    /**
     * Gets the writes.
     *
     * @return the writes, unmodifiable
     */
    public List<Write> getWrites() {
        return List.copyOf(writes);
    }

    /**
     * A required version of a row.
     *
     * @param key the row
     * @param version the version
     */
    public record Condition(String key, long version) {}

    /**
     * A new value of a row.
     *
     * @param key the row
     * @param value the value
     */
    public record Write(String key, String value) {}
}
