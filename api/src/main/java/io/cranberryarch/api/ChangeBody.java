package io.cranberryarch.api;

import java.util.List;

/**
 * An accepted change of the shared settings.
 *
 * @param version the version after the change
 * @param author the operator
 * @param atMs wall-clock time of acceptance in milliseconds
 * @param edits what it set and removed
 */
public record ChangeBody(long version, String author, long atMs, List<EditBody> edits) {}
