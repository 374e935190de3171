package io.cranberryarch.api;

/**
 * An announcement of an upstream to its node.
 *
 * @param state "up" if it accepts requests, "draining" if it is about to stop
 * @param slots the maximum number of requests that it runs concurrently
 */
public record AnnounceBody(String state, int slots) {}
