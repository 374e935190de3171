package io.cranberryarch.mesh;

import io.cranberryarch.context.PeerInfo;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;

/** An in-memory store that several nodes share, and that can be unavailable to some of them. */
final class FakeStore {

    private final Map<String, PeerInfo> peers = new LinkedHashMap<>();
    private final Map<String, byte[]> objects = new LinkedHashMap<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private byte[] document;
    private long revision = 1;

    synchronized void write(byte[] newDocument) {
        document = newDocument;
        revision++;
        List<Runnable> woken = new ArrayList<>(waiting);
        waiting.clear();
        woken.forEach(Runnable::run);
    }

    synchronized Map<String, byte[]> getObjects() {
        return new LinkedHashMap<>(objects);
    }

    View connect(Executor loop) {
        return new View(loop);
    }

    /** The view of one node on the store. */
    final class View implements SharedStore {

        private final Executor loop;
        private volatile boolean isUnavailable;
        private volatile boolean isRegistryUnavailable;

        private View(Executor loop) {
            this.loop = loop;
        }

        void setUnavailable(boolean unavailable) {
            isUnavailable = unavailable;
        }

        /** Sets whether reads of the registered nodes fail while all other calls succeed. */
        void setRegistryUnavailable(boolean unavailable) {
            isRegistryUnavailable = unavailable;
        }

        @Override
        public void readDocument(Callback<Optional<byte[]>> callback) {
            synchronized (FakeStore.this) {
                answer(callback, Optional.ofNullable(document));
            }
        }

        @Override
        public void awaitDocument(long afterRevision, long waitMs, Callback<Optional<byte[]>> callback) {
            synchronized (FakeStore.this) {
                if (isUnavailable || revision > afterRevision) {
                    answer(callback, Optional.ofNullable(document));
                } else {
                    waiting.add(() -> awaitDocument(afterRevision, waitMs, callback));
                }
            }
        }

        @Override
        public void register(PeerInfo self, Callback<Void> callback) {
            synchronized (FakeStore.this) {
                if (!isUnavailable) {
                    peers.put(self.node(), self);
                }
                answer(callback, null);
            }
        }

        @Override
        public void deregister(String node, Callback<Void> callback) {
            synchronized (FakeStore.this) {
                peers.remove(node);
                answer(callback, null);
            }
        }

        @Override
        public void readPeers(Callback<List<PeerInfo>> callback) {
            synchronized (FakeStore.this) {
                if (isRegistryUnavailable) {
                    loop.execute(() -> callback.onFailure(new StoreFailure(false, "unavailable")));
                } else {
                    answer(callback, new ArrayList<>(peers.values()));
                }
            }
        }

        @Override
        public void writeObject(String name, byte[] content, Callback<Void> callback) {
            synchronized (FakeStore.this) {
                if (!isUnavailable) {
                    objects.put(name, content);
                }
                answer(callback, null);
            }
        }

        private <T> void answer(Callback<T> callback, T result) {
            long shown = revision;
            if (isUnavailable) {
                loop.execute(() -> callback.onFailure(new StoreFailure(false, "unavailable")));
            } else {
                loop.execute(() -> callback.onResult(result, shown));
            }
        }
    }
}
