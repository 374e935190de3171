package io.cranberryarch.store;

import java.util.List;
import java.util.Optional;

/** The platform's transactional table. */
public interface TableStore {

    /**
     * Reads a row.
     *
     * @param key the key of the row, not {@code null}
     * @return the row, or empty if it does not exist
     * @throws PlatformException if the store does not answer
     */
    Optional<Row> get(String key) throws PlatformException;

    /**
     * Reads rows in ascending order of their keys.
     *
     * @param prefix the prefix of the keys
     * @param after the key after which to start, empty to start with the first
     * @param limit the maximum number of rows to return
     * @return the rows
     * @throws PlatformException if the store does not answer
     */
    List<Row> list(String prefix, String after, int limit) throws PlatformException;

    /**
     * Commits a transaction.
     *
     * @param transaction the conditions and writes, not {@code null}
     * @return whether it took effect; {@code false} if a condition did not hold
     * @throws PlatformException if the store does not answer; the transaction may have taken effect
     */
    boolean commit(Transaction transaction) throws PlatformException;
}
