package io.cranberryarch.mesh;

/**
 * What an upstream says of itself.
 *
 * @param instance the identifier of its incarnation
 * @param startedAtMs the time of day of its start, in milliseconds since 1970
 * @param sequence grows with each report of the incarnation
 * @param service its service
 * @param slots requests that it runs at once
 * @param isLeaving whether it takes no new requests
 * @param coldLeftMs how long it stays slow after its start, in milliseconds
 */
public record UpstreamReport(
        String instance,
        long startedAtMs,
        long sequence,
        String service,
        int slots,
        boolean isLeaving,
        long coldLeftMs) {}
