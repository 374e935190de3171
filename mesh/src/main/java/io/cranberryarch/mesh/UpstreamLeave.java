package io.cranberryarch.mesh;

/**
 * An incarnation of an upstream that has announced that it leaves.
 *
 * @param instance the identifier of the incarnation
 * @param startedAtMs the wall-clock time of its start, in milliseconds since 1970, 0 if unknown
 */
public record UpstreamLeave(String instance, long startedAtMs) {}
