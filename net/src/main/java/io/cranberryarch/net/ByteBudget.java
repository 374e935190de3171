package io.cranberryarch.net;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the total number of bytes that connections buffer for incompletely received messages. Not thread-safe: must be
 * used from the loop's thread only.
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
     * Creates an unused budget.
     *
     * @param maxBytes the maximum total size of all holders, in bytes
     */
    public ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Records additional bytes of a holder. While the total exceeds the maximum, the holder with the most bytes, which
     * may be the given one, is released and aborted.
     *
     * @param holder the holder, not {@code null}
     * @param bytes the number of additional bytes
     */
    public void add(Holder holder, int bytes) {
        held.merge(holder, (long) bytes, Long::sum);
        heldBytes += bytes;
        while (heldBytes > maxBytes) {
            Holder largest = findLargest();
            release(largest);
            largest.abort("incomplete messages exceed " + maxBytes + " bytes in total");
        }
    }

    /**
     * Removes all bytes of a holder.
     *
     * @param holder the holder; ignored if it holds no bytes
     */
    public void release(Holder holder) {
        Long bytes = held.remove(holder);
        if (bytes != null) {
            heldBytes -= bytes;
        }
    }

    /**
     * Returns the total number of bytes of all holders.
     *
     * @return the number of bytes
     */
    public long getHeldBytes() {
        return heldBytes;
    }

    private Holder findLargest() {
        Holder largest = null;
        long largestBytes = -1;
        for (Map.Entry<Holder, Long> entry : held.entrySet()) {
            if (entry.getValue() > largestBytes) {
                largestBytes = entry.getValue();
                largest = entry.getKey();
            }
        }
        return largest;
    }

    /** Holds the buffered bytes of a message. */
    public interface Holder {

        /**
         * Discards the message because the budget is exceeded.
         *
         * @param cause the reason, for the log
         */
        void abort(String cause);
    }
}
