package io.cranberryarch.settings;

import java.util.List;

/**
 * An accepted change of the shared settings.
 *
 * @param version the version that the tree has after the change; each change adds one
 * @param changeId chosen by the author, to recognise the change when an answer was lost
 * @param author the operator who made it
 * @param atMs wall-clock time of acceptance in milliseconds
 * @param edits what it sets and removes
 */
public record SettingChange(long version, String changeId, String author, long atMs, List<SettingEdit> edits) {

    /** Copies the edits. */
    public SettingChange {
        edits = List.copyOf(edits);
    }
}
