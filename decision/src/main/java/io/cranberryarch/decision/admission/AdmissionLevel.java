package io.cranberryarch.decision.admission;

import com.dynatrace.hash4j.hashing.Hashing;
import io.cranberryarch.settings.Priority;

/**
 * Orders requests by importance: by priority, and within a priority by a hash of the request identifier.
 *
 * <p>Level 0 is refused last. The hash is the same at every depth of a call tree, so that gates which refuse the same
 * share of a priority refuse the same requests. A threshold is the lowest level that is refused; {@link #LEVELS}
 * refuses none.
 *
 * <pre>
 * int level = AdmissionLevel.of(Priority.NORMAL, requestId); // from 256 to 383
 * boolean refused = level &gt;= threshold;
 * </pre>
 */
public final class AdmissionLevel {

    /** The number of levels of one priority. */
    public static final int HASH_LEVELS = 128;
    /** The total number of levels, and the threshold that refuses none. */
    public static final int LEVELS = Priority.values().length * HASH_LEVELS;

    private static final int NESTED_SLACK_LEVELS = 32;

    private AdmissionLevel() {}

    /**
     * Returns the level of a request.
     *
     * @param priority the priority, not {@code null}
     * @param requestId the identifier of the caller's request, not {@code null}
     * @return a level from 0 to {@link #LEVELS} - 1
     */
    public static int of(Priority priority, String requestId) {
        long hash = Hashing.komihash5_0().hashCharsToLong(requestId);
        return priority.ordinal() * HASH_LEVELS + (int) Math.floorMod(hash, (long) HASH_LEVELS);
    }

    /**
     * Returns whether a threshold refuses a level. Nested calls get some slack, so that a small change of the threshold
     * does not abort requests that have already run in part; entries refuse new requests in the meantime.
     *
     * @param level the level of the request
     * @param threshold the lowest level that is refused
     * @param isNested whether another call of the same request is running already
     * @return whether the call is refused
     */
    public static boolean isRefused(int level, int threshold, boolean isNested) {
        return level >= threshold + (isNested ? NESTED_SLACK_LEVELS : 0);
    }
}
