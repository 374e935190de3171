package io.cranberryarch.net;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the bytes that the connections of a process hold together for messages that have not arrived whole. Used from
 * the loop's thread only.
 *
 * <pre>
 * budget.add(connection, part.length);
 * budget.release(connection);
 * </pre>
 */
public final class ByteBudget {

    private final long maxBytes;
    private final Map<Holder, Long> held = new LinkedHashMap<>();
    private long heldBytes;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maxBytes the most bytes that all holders together may hold
     */
    public ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Notes that a holder holds more. While all hold too much together, the one that holds most gives up; this may be
     * the holder itself.
     *
     * @param holder the holder, not {@code null}
     * @param bytes how much more it holds
     */
    public void add(Holder holder, int bytes) {
        held.merge(holder, (long) bytes, Long::sum);
        heldBytes += bytes;
        while (heldBytes > maxBytes) {
            Holder largest = findLargest();
            release(largest);
            largest.giveUp("messages under way hold more than " + maxBytes + " bytes");
        }
    }

    /**
     * Notes that a holder holds nothing any more.
     *
     * @param holder the holder; one that holds nothing is ignored
     */
    public void release(Holder holder) {
        Long bytes = held.remove(holder);
        if (bytes != null) {
            heldBytes -= bytes;
        }
    }

    /**
     * Counts the bytes that are held.
     *
     * @return the number of bytes
     */
    public long getHeldBytes() {
        return heldBytes;
    }

    private Holder findLargest() {
        Holder largest = null;
        long most = -1;
        for (Map.Entry<Holder, Long> entry : held.entrySet()) {
            if (entry.getValue() > most) {
                most = entry.getValue();
                largest = entry.getKey();
            }
        }
        return largest;
    }

    /** What holds bytes of a message. */
    public interface Holder {

        /**
         * Drops the message, as too much is held.
         *
         * @param cause what happened, for the log
         */
        void giveUp(String cause);
    }
}
