package io.cranberryarch.node.report;

import io.cranberryarch.standin.InMemoryPlatform;
import io.cranberryarch.store.ObjectStore;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.Row;
import io.cranberryarch.store.TableStore;
import io.cranberryarch.store.Transaction;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** A platform with random faults: failed requests, responses lost after the write, and writes applied much later. */
final class FaultyPlatform implements ObjectStore, TableStore {

    private final InMemoryPlatform platform = new InMemoryPlatform();
    private final Random random;
    private final List<Runnable> delayedWrites = new ArrayList<>();
    private final Set<String> storedSources = new HashSet<>();
    private double faultRatio;

    FaultyPlatform(Random random) {
        this.random = random;
    }

    void setFaultRatio(double ratio) {
        faultRatio = ratio;
    }

    void applyOneDelayedWrite() {
        if (!delayedWrites.isEmpty()) {
            delayedWrites.remove(random.nextInt(delayedWrites.size())).run();
        }
    }

    /** Checks whether no increment of a process has been stored. */
    boolean hasNoStoredIncrement(String instance, long incarnation) {
        return !storedSources.contains(instance + "/" + incarnation);
    }

    @Override
    public void put(String name, byte[] content) throws PlatformException {
        write(() -> {
            platform.put(name, content);
            storedSources.add(name.replaceFirst("^counts/[^/]*/[^/]*/", "").replaceFirst("/[^/]*$", ""));
        });
    }

    @Override
    public void delete(String name) throws PlatformException {
        write(() -> platform.delete(name));
    }

    @Override
    public Optional<byte[]> getObject(String name) throws PlatformException {
        read();
        return platform.getObject(name);
    }

    @Override
    public List<String> listObjects(String prefix) throws PlatformException {
        read();
        return platform.listObjects(prefix);
    }

    @Override
    public Optional<Row> get(String key) throws PlatformException {
        read();
        return platform.get(key);
    }

    @Override
    public List<Row> list(String prefix, String after, int limit) throws PlatformException {
        read();
        return platform.list(prefix, after, limit);
    }

    @Override
    public boolean commit(Transaction transaction) throws PlatformException {
        boolean[] committed = new boolean[1];
        write(() -> committed[0] = platform.commit(transaction));
        return committed[0];
    }

    private void read() throws PlatformException {
        if (random.nextDouble() < faultRatio) {
            throw new PlatformException("no response");
        }
    }

    private void write(Runnable operation) throws PlatformException {
        if (random.nextDouble() >= faultRatio) {
            operation.run();
            return;
        }
        switch (random.nextInt(3)) {
            case 0 -> operation.run();
            case 1 -> delayedWrites.add(operation);
            default -> {}
        }
        throw new PlatformException("no response");
    }
}
