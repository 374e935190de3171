package io.cranberryarch.api;

import java.util.List;

/**
 * Accepted changes of the shared settings, newest last.
 *
 * @param changes the changes
 */
public record HistoryBody(List<ChangeBody> changes) {}
