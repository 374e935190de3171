package io.cranberryarch.api;

import java.util.List;

/**
 * An accepted change of the shared settings.
 *
 * @param version the version after the change
 * @param author the name of the operator
 * @param atMs the wall-clock time of acceptance in milliseconds
 * @param edits the paths set and removed
 */
public record ChangeBody(long version, String author, long atMs, List<EditBody> edits) {}
