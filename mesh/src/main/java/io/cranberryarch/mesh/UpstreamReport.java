package io.cranberryarch.mesh;

/**
 * A status report of an upstream.
 *
 * @param instance the identifier of its incarnation
 * @param startedAtMs the wall-clock time of its start, in milliseconds since 1970
 * @param sequence a number that increases with each report of the incarnation
 * @param service the name of its service
 * @param slots the number of requests that it runs concurrently
 * @param isLeaving whether it accepts no new requests
 * @param remainingColdStartMs the remaining time of the cold start, during which it is slow, in milliseconds
 */
public record UpstreamReport(
        String instance,
        long startedAtMs,
        long sequence,
        String service,
        int slots,
        boolean isLeaving,
        long remainingColdStartMs) {}
