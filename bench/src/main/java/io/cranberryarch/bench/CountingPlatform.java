package io.cranberryarch.bench;

import io.cranberryarch.standin.InMemoryPlatform;
import io.cranberryarch.store.ObjectStore;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.Row;
import io.cranberryarch.store.TableStore;
import io.cranberryarch.store.Transaction;
import java.util.List;
import java.util.Optional;

/** An in-memory platform that counts reads and writes. Not thread-safe. */
final class CountingPlatform implements ObjectStore, TableStore {

    private final InMemoryPlatform platform;
    private long reads;
    private long writes;
    private long writtenBytes;
    private boolean isDown;

    CountingPlatform(InMemoryPlatform platform) {
        this.platform = platform;
    }

    long getAndResetReads() {
        long count = reads;
        reads = 0;
        return count;
    }

    void setDown(boolean newDown) {
        isDown = newDown;
    }

    long getWrites() {
        return writes;
    }

    long getWrittenBytes() {
        return writtenBytes;
    }

    @Override
    public void put(String name, byte[] content) throws PlatformException {
        if (isDown) {
            throw new PlatformException("the store is down");
        }
        writes++;
        writtenBytes += content.length;
        platform.put(name, content);
    }

    @Override
    public void delete(String name) {
        writes++;
        platform.delete(name);
    }

    @Override
    public Optional<byte[]> getObject(String name) {
        reads++;
        return platform.getObject(name);
    }

    @Override
    public List<String> listObjects(String prefix) {
        reads++;
        return platform.listObjects(prefix);
    }

    @Override
    public Optional<Row> get(String key) {
        reads++;
        return platform.get(key);
    }

    @Override
    public List<Row> list(String prefix, String after, int limit) {
        reads++;
        return platform.list(prefix, after, limit);
    }

    @Override
    public boolean commit(Transaction transaction) {
        writes++;
        return platform.commit(transaction);
    }
}
