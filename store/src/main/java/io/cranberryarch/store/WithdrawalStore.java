package io.cranberryarch.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Stores withdrawn keys in the platform's table, one row per key. Rows are never removed, and storing a key again has
 * no effect on the set of withdrawn keys.
 *
 * <pre>
 * store.store(List.of("k1"));
 * store.readAll(); // contains "k1" from now on
 * </pre>
 */
public final class WithdrawalStore {

    private static final String KEY_PREFIX = "keys/withdrawn/";
    private static final int MAX_PAGE_ROWS = 500;

    private final TableStore table;

    /**
     * Creates a store.
     *
     * @param table the table, not {@code null}
     */
    public WithdrawalStore(TableStore table) {
        this.table = table;
    }

    /**
     * Stores keys as withdrawn.
     *
     * @param keyIds the public identifiers of the keys, not empty
     * @throws PlatformException if the store does not answer; the keys may have been stored
     */
    public void store(Collection<String> keyIds) throws PlatformException {
        Transaction transaction = new Transaction();
        for (String id : keyIds) {
            transaction.put(toRowKey(id), id);
        }
        table.commit(transaction);
    }

    /**
     * Reads all withdrawn keys.
     *
     * @return the public identifiers of the keys
     * @throws PlatformException if the store does not answer
     */
    public List<String> readAll() throws PlatformException {
        List<String> ids = new ArrayList<>();
        List<Row> page = table.list(KEY_PREFIX, "", MAX_PAGE_ROWS);
        while (!page.isEmpty()) {
            for (Row row : page) {
                ids.add(row.key().substring(KEY_PREFIX.length()));
            }
            page = table.list(KEY_PREFIX, page.get(page.size() - 1).key(), MAX_PAGE_ROWS);
        }
        return ids;
    }

    /** Returns the row key of a withdrawn key. */
    static String toRowKey(String keyId) {
        return KEY_PREFIX + keyId;
    }
}
