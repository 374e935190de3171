package io.cranberryarch.settings;

import java.util.List;

/**
 * An accepted change of the shared settings.
 *
 * @param version the version of the tree after the change; each change increments it by one
 * @param changeId an identifier chosen by the author, which identifies the change after a lost answer
 * @param author the operator who made the change
 * @param atMs the wall-clock time of acceptance in milliseconds
 * @param edits the edits of the change, copied
 */
public record SettingChange(long version, String changeId, String author, long atMs, List<SettingEdit> edits) {

    /** Copies the edits. */
    public SettingChange {
        edits = List.copyOf(edits);
    }
}
