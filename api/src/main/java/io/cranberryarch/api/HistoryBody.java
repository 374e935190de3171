package io.cranberryarch.api;

import java.util.List;

/**
 * Accepted changes, newest last.
 *
 * @param changes the changes
 */
public record HistoryBody(List<ChangeBody> changes) {}
