package io.cranberryarch.mesh;

import io.cranberryarch.context.PeerInfo;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;

/** A store in memory that several nodes share, and that can be away for some of them. */
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

    /** The store as one node sees it. */
    final class View implements SharedStore {

        private final Executor loop;
        private volatile boolean isAway;
        private volatile boolean isTableAway;

        private View(Executor loop) {
            this.loop = loop;
        }

        void setAway(boolean away) {
            isAway = away;
        }

        /** Sets whether reads of the nodes fail while the rest of the store answers. */
        void setTableAway(boolean away) {
            isTableAway = away;
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
                if (isAway || revision > afterRevision) {
                    answer(callback, Optional.ofNullable(document));
                } else {
                    waiting.add(() -> awaitDocument(afterRevision, waitMs, callback));
                }
            }
        }

        @Override
        public void register(PeerInfo self, Callback<Void> callback) {
            synchronized (FakeStore.this) {
                if (!isAway) {
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
                if (isTableAway) {
                    loop.execute(() -> callback.onFailure(new StoreFailure(false, "away")));
                } else {
                    answer(callback, new ArrayList<>(peers.values()));
                }
            }
        }

        @Override
        public void writeObject(String name, byte[] content, Callback<Void> callback) {
            synchronized (FakeStore.this) {
                if (!isAway) {
                    objects.put(name, content);
                }
                answer(callback, null);
            }
        }

        private <T> void answer(Callback<T> callback, T result) {
            long shown = revision;
            if (isAway) {
                loop.execute(() -> callback.onFailure(new StoreFailure(false, "away")));
            } else {
                loop.execute(() -> callback.onResult(result, shown));
            }
        }
    }
}
