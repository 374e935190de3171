package io.cranberryarch.node.config;

import io.cranberryarch.settings.SettingChange;

/** Thrown when another operator changed the same subtree first. */
public final class SettingsConflictException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param subtree the subtree
     * @param baseVersion the version that the author has seen
     * @param winner the newest change by somebody else
     */
    public SettingsConflictException(String subtree, long baseVersion, SettingChange winner) {
        super(subtree + " was changed after version " + baseVersion + ": version " + winner.version() + " by "
                + winner.author());
    }
}
