package io.cranberryarch.mesh;

/**
 * An incarnation of an upstream, from one start to its end.
 *
 * @param instance the identifier of the incarnation, which a later one may have as well
 * @param startedAtMs the wall-clock time of its start, in milliseconds since 1970, 0 if unknown
 */
public record UpstreamIncarnation(String instance, long startedAtMs) {

    /** The start time of an incarnation of which only the identifier is known. */
    static final long UNKNOWN_START_MS = 0;

    /** Returns whether this may be the same incarnation as another one, as far as their start times are known. */
    boolean matches(UpstreamIncarnation other) {
        boolean isStartKnown = startedAtMs != UNKNOWN_START_MS && other.startedAtMs != UNKNOWN_START_MS;
        return instance.equals(other.instance) && (!isStartKnown || startedAtMs == other.startedAtMs);
    }
}
