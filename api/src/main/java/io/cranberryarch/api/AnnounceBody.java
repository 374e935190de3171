package io.cranberryarch.api;

/**
 * What an upstream announces to its node.
 *
 * @param state "up" when it takes requests, "draining" when it is leaving
 * @param slots requests that it runs at once at most
 */
public record AnnounceBody(String state, int slots) {}
