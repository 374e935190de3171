package io.cranberryarch.node.report;

import io.cranberryarch.standin.MemoryPlatform;
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

/** The platform with random faults: no answer, an answer lost after the effect, and effects that come much later. */
final class FaultyPlatform implements ObjectStore, TableStore {

    private final MemoryPlatform platform = new MemoryPlatform();
    private final Random random;
    private final List<Runnable> late = new ArrayList<>();
    private final Set<String> seen = new HashSet<>();
    private double faultShare;

    FaultyPlatform(Random random) {
        this.random = random;
    }

    void setFaultShare(double share) {
        faultShare = share;
    }

    void applyOneLate() {
        if (!late.isEmpty()) {
            late.remove(random.nextInt(late.size())).run();
        }
    }

    /** Whether no increment of a process has ever reached the store. */
    boolean isUnknown(String instance, long incarnation) {
        return !seen.contains(instance + "/" + incarnation);
    }

    @Override
    public void put(String name, byte[] content) throws PlatformException {
        write(() -> {
            platform.put(name, content);
            seen.add(name.replaceFirst("^counts/[^/]*/[^/]*/", "").replaceFirst("/[^/]*$", ""));
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
        boolean[] done = new boolean[1];
        write(() -> done[0] = platform.commit(transaction));
        return done[0];
    }

    private void read() throws PlatformException {
        if (random.nextDouble() < faultShare) {
            throw new PlatformException("no answer");
        }
    }

    private void write(Runnable effect) throws PlatformException {
        if (random.nextDouble() >= faultShare) {
            effect.run();
            return;
        }
        switch (random.nextInt(3)) {
            case 0 -> effect.run();
            case 1 -> late.add(effect);
            default -> {}
        }
        throw new PlatformException("no answer");
    }
}
