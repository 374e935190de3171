package io.cranberryarch.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Withdrawn keys in the platform's table, one row each. A row is never removed, and storing it again does no harm.
 *
 * <pre>
 * store.store(List.of("k1"));
 * store.readAll(); // contains "k1" from now on
 * </pre>
 */
public final class WithdrawalStore {

    private static final String PREFIX = "keys/withdrawn/";
    private static final int PAGE = 500;

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
     * Stores keys.
     *
     * @param keyIds public identifiers, not empty
     * @throws PlatformException if the store gives no answer; the keys may have been stored
     */
    public void store(Collection<String> keyIds) throws PlatformException {
        Transaction transaction = new Transaction();
        for (String id : keyIds) {
            transaction.put(toRow(id), id);
        }
        table.commit(transaction);
    }

    /**
     * Reads all keys.
     *
     * @return public identifiers
     * @throws PlatformException if the store gives no answer
     */
    public List<String> readAll() throws PlatformException {
        List<String> ids = new ArrayList<>();
        List<Row> page = table.list(PREFIX, "", PAGE);
        while (!page.isEmpty()) {
            for (Row row : page) {
                ids.add(row.key().substring(PREFIX.length()));
            }
            page = table.list(PREFIX, page.get(page.size() - 1).key(), PAGE);
        }
        return ids;
    }

    /** Names the row of a key. */
    static String toRow(String keyId) {
        return PREFIX + keyId;
    }
}
