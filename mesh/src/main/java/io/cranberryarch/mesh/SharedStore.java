package io.cranberryarch.mesh;

import io.cranberryarch.context.PeerInfo;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * What the node needs of the platform's store. Answers arrive on the loop's thread, exactly one for each call; a call
 * that fails may have taken effect.
 */
public interface SharedStore {

    /**
     * Reads the operators' document.
     *
     * @param callback takes the document, or nothing if there is none yet
     */
    void readDocument(Callback<Optional<byte[]>> callback);

    /**
     * Waits for a change of the operators' document.
     *
     * @param afterRevision the revision of the store after which changes count
     * @param waitMs the longest time to wait, in milliseconds
     * @param callback takes the newest document, or nothing if it did not change
     */
    void awaitDocument(long afterRevision, long waitMs, Callback<Optional<byte[]>> callback);

    /**
     * Writes where this node is found.
     *
     * @param self the node
     * @param callback learns the outcome
     */
    void register(PeerInfo self, Callback<Void> callback);

    /**
     * Removes the entry of a node.
     *
     * @param node the name of the node
     * @param callback learns the outcome
     */
    void deregister(String node, Callback<Void> callback);

    /**
     * Reads where all registered nodes are found.
     *
     * @param callback takes the nodes, also those that no longer run
     */
    void readPeers(Callback<List<PeerInfo>> callback);

    /**
     * Writes an object, replacing an earlier one of the same name.
     *
     * @param name the name
     * @param content the content
     * @param callback learns the outcome
     */
    void writeObject(String name, byte[] content, Callback<Void> callback);

    /**
     * Takes the outcome of a call.
     *
     * @param <T> the type of the result
     */
    interface Callback<T> {

        /**
         * The call succeeded.
         *
         * @param result the result
         * @param revision the revision of the store that the result shows
         */
        void onResult(T result, long revision);

        /**
         * The call failed, or nobody knows whether it took effect.
         *
         * @param failure what happened
         */
        void onFailure(StoreFailure failure);

        /**
         * Creates a callback from two functions.
         *
         * @param result takes the result
         * @param failure takes the failure
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
     * Why a call failed.
     *
     * @param isHistoryCompacted whether the store no longer has the changes that were asked for
     * @param cause what happened, for the log
     */
    record StoreFailure(boolean isHistoryCompacted, String cause) {}
}
