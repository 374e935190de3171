package io.cranberryarch.mesh;

import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.net.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/** An in-memory store that several nodes share, and that can be unavailable to some of them. */
final class FakeStore {

    private final Map<String, PeerInfo> peers = new LinkedHashMap<>();
    private final Map<String, byte[]> objects = new LinkedHashMap<>();
    private final Map<String, List<UpstreamIncarnation>> leaves = new LinkedHashMap<>();
    private final List<Wait> waiting = new ArrayList<>();
    private final List<Runnable> restoreListeners = new ArrayList<>();
    private byte[] document;
    private long revision = 1;

    synchronized void write(byte[] newDocument) {
        document = newDocument;
        revision++;
        for (Wait wait : new ArrayList<>(waiting)) {
            if (!wait.isSilent) {
                wait.end();
            }
        }
    }

    /** Makes all calls that wait for a change silent: they fail once their time has passed. Later calls succeed. */
    synchronized void silenceWaits() {
        waiting.forEach(wait -> wait.isSilent = true);
    }

    /** Loses all that the nodes have written so far, as if the store had returned from an older copy. */
    synchronized void restore() {
        peers.clear();
        objects.clear();
        leaves.clear();
        restoreListeners.forEach(Runnable::run);
    }

    synchronized void addPeer(PeerInfo peer) {
        peers.put(peer.node(), peer);
    }

    synchronized boolean hasPeer(String node) {
        return peers.containsKey(node);
    }

    synchronized List<UpstreamIncarnation> getLeaves(String node) {
        return leaves.getOrDefault(node, List.of());
    }

    synchronized Map<String, byte[]> getObjects() {
        return new LinkedHashMap<>(objects);
    }

    View connect(EventLoop loop) {
        return new View(loop);
    }

    /** The view of one node on the store. */
    final class View implements SharedStore {

        private final EventLoop loop;
        private final List<Long> waitsMs = new CopyOnWriteArrayList<>();
        private volatile boolean isUnavailable;
        private volatile boolean isRegistryUnavailable;
        private volatile boolean areLeavesUnavailable;

        private View(EventLoop loop) {
            this.loop = loop;
        }

        void setUnavailable(boolean unavailable) {
            isUnavailable = unavailable;
        }

        /** Sets whether reads of the registered nodes fail while all other calls succeed. */
        void setRegistryUnavailable(boolean unavailable) {
            isRegistryUnavailable = unavailable;
        }

        /** Sets whether reads of leaves fail while all other calls succeed. */
        void setLeavesUnavailable(boolean unavailable) {
            areLeavesUnavailable = unavailable;
        }

        @Override
        public void addRestoreListener(Runnable listener) {
            synchronized (FakeStore.this) {
                restoreListeners.add(() -> loop.execute(listener));
            }
        }

        @Override
        public void readDocument(Callback<Optional<byte[]>> callback) {
            synchronized (FakeStore.this) {
                answer(callback, Optional.ofNullable(document));
            }
        }

        @Override
        public Runnable awaitDocument(long afterRevision, long waitMs, Callback<Optional<byte[]>> callback) {
            waitsMs.add(waitMs);
            synchronized (FakeStore.this) {
                if (isUnavailable || revision > afterRevision) {
                    answer(callback, Optional.ofNullable(document));
                    return () -> {};
                }
                Wait wait = new Wait(this, callback);
                waiting.add(wait);
                wait.timer = loop.schedule(waitMs, wait::end);
                return wait::cancel;
            }
        }

        /** Returns the durations of all calls that waited for a change so far, in milliseconds. */
        List<Long> getWaitsMs() {
            return waitsMs;
        }

        @Override
        public long nowMs() {
            return loop.nowMs();
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
        public void writeLeaves(String node, List<UpstreamIncarnation> newLeaves, Callback<Void> callback) {
            synchronized (FakeStore.this) {
                if (!isUnavailable) {
                    leaves.put(node, newLeaves);
                }
                answer(callback, null);
            }
        }

        @Override
        public void readLeaves(String node, Callback<List<UpstreamIncarnation>> callback) {
            synchronized (FakeStore.this) {
                if (areLeavesUnavailable) {
                    loop.execute(() -> callback.onFailure(new StoreFailure(false, "unavailable")));
                } else {
                    answer(callback, leaves.getOrDefault(node, List.of()));
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

    /** A call that waits for a change of the document. */
    private final class Wait {

        private final View view;
        private final SharedStore.Callback<Optional<byte[]>> callback;
        private EventLoop.Timer timer;
        private boolean isSilent;

        private Wait(View view, SharedStore.Callback<Optional<byte[]>> callback) {
            this.view = view;
            this.callback = callback;
        }

        private void end() {
            synchronized (FakeStore.this) {
                if (!waiting.remove(this)) {
                    return;
                }
                if (isSilent) {
                    callback.onFailure(new SharedStore.StoreFailure(false, "no answer"));
                } else {
                    view.answer(callback, Optional.ofNullable(document));
                }
            }
        }

        private void cancel() {
            synchronized (FakeStore.this) {
                waiting.remove(this);
                timer.cancel();
            }
        }
    }
}
