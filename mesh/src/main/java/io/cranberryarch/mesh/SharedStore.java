package io.cranberryarch.mesh;

import io.cranberryarch.context.PeerInfo;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The operations of the platform's store that a node uses. Results arrive on the event loop's thread, exactly one for
 * each call; a call that fails may have taken effect.
 */
public interface SharedStore {

    /**
     * Adds a listener that is run once the store has returned from an older copy. What was written since the copy is
     * lost, even if it was acknowledged, and revisions from before the return are void.
     *
     * @param listener the listener
     */
    void addRestoreListener(Runnable listener);

    /**
     * Reads the operators' document.
     *
     * @param callback receives the document, or empty if there is none yet
     */
    void readDocument(Callback<Optional<byte[]>> callback);

    /**
     * Waits for a change of the operators' document.
     *
     * @param afterRevision the revision of the store after which a change is reported
     * @param waitMs the maximum time to wait, in milliseconds
     * @param callback receives the newest document, or empty if it did not change
     * @return an action that cancels the call, after which the callback is not invoked
     */
    Runnable awaitDocument(long afterRevision, long waitMs, Callback<Optional<byte[]>> callback);

    /**
     * Returns the time of the store's clock as derived from its last response, which is about the same on all nodes.
     *
     * @return the time in milliseconds; the monotonic time of this node if the store has not sent its own
     */
    long nowMs();

    /**
     * Registers the address of this node.
     *
     * @param self the node
     * @param callback receives the outcome
     */
    void register(PeerInfo self, Callback<Void> callback);

    /**
     * Removes the registration of a node.
     *
     * @param node the name of the node
     * @param callback receives the outcome
     */
    void deregister(String node, Callback<Void> callback);

    /**
     * Reads the addresses of all registered nodes.
     *
     * @param callback receives the nodes, including those that no longer run
     */
    void readPeers(Callback<List<PeerInfo>> callback);

    /**
     * Writes which incarnations of the upstream of a node have announced that they leave, replacing what was written
     * before.
     *
     * @param node the name of the node
     * @param leaves the incarnations
     * @param callback receives the outcome
     */
    void writeLeaves(String node, List<UpstreamIncarnation> leaves, Callback<Void> callback);

    /**
     * Reads which incarnations of the upstream of a node have announced that they leave.
     *
     * @param node the name of the node
     * @param callback receives the incarnations, none if nothing was written
     */
    void readLeaves(String node, Callback<List<UpstreamIncarnation>> callback);

    /**
     * Writes an object, replacing an earlier one of the same name.
     *
     * @param name the name
     * @param content the content
     * @param callback receives the outcome
     */
    void writeObject(String name, byte[] content, Callback<Void> callback);

    /**
     * Receives the outcome of a call.
     *
     * @param <T> the type of the result
     */
    interface Callback<T> {

        /**
         * Handles the result of a call that succeeded.
         *
         * @param result the result
         * @param revision the revision of the store that the result reflects
         */
        void onResult(T result, long revision);

        /**
         * Handles the failure of a call, which may have taken effect.
         *
         * @param failure the failure
         */
        void onFailure(StoreFailure failure);

        /**
         * Creates a callback from two functions.
         *
         * @param result receives the result
         * @param failure receives the failure
         * @param <T> the type of the result
         * @return the callback
         */
        static <T> Callback<T> of(Consumer<T> result, Consumer<StoreFailure> failure) {
            return new Callback<>() {
                @Override
                public void onResult(T value, long revision) {
                    result.accept(value);
                }

                @Override
                public void onFailure(StoreFailure cause) {
                    failure.accept(cause);
                }
            };
        }
    }

    /**
     * The failure of a call.
     *
     * @param isHistoryCompacted whether the store no longer has the requested changes
     * @param cause the cause, for the log
     */
    record StoreFailure(boolean isHistoryCompacted, String cause) {}
}
