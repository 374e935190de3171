package io.cranberryarch.standin;

import io.cranberryarch.store.ObjectStore;
import io.cranberryarch.store.Row;
import io.cranberryarch.store.TableStore;
import io.cranberryarch.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** An in-memory implementation of the platform's stores. Thread-safe. */
public final class InMemoryPlatform implements TableStore, ObjectStore {

    private final NavigableMap<String, Row> rows = new TreeMap<>();
    private final NavigableMap<String, byte[]> objects = new TreeMap<>();

    @Override
    public synchronized Optional<Row> get(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    @Override
    public synchronized List<Row> list(String prefix, String after, int limit) {
        List<Row> found = new ArrayList<>();
        for (Row row :
                rows.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
            if (!row.key().startsWith(prefix) || found.size() == limit) {
                break;
            }
            found.add(row);
        }
        return found;
    }

    @Override
    public synchronized boolean commit(Transaction transaction) {
        for (Transaction.Condition condition : transaction.getConditions()) {
            if (getVersion(condition.key()) != condition.version()) {
                return false;
            }
        }
        for (Transaction.Write write : transaction.getWrites()) {
            rows.put(write.key(), new Row(write.key(), getVersion(write.key()) + 1, write.value()));
        }
        return true;
    }

    @Override
    public synchronized void put(String name, byte[] content) {
        objects.put(name, content.clone());
    }

    @Override
    public synchronized Optional<byte[]> getObject(String name) {
        return Optional.ofNullable(objects.get(name)).map(byte[]::clone);
    }

    @Override
    public synchronized void delete(String name) {
        objects.remove(name);
    }

    @Override
    public synchronized List<String> listObjects(String prefix) {
        List<String> names = new ArrayList<>();
        for (String name : objects.tailMap(prefix, true).keySet()) {
            if (!name.startsWith(prefix)) {
                break;
            }
            names.add(name);
        }
        return names;
    }

    private long getVersion(String key) {
        Row row = rows.get(key);
        return row == null ? Transaction.ABSENT : row.version();
    }
}
