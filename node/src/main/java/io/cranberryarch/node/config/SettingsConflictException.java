package io.cranberryarch.node.config;

import io.cranberryarch.settings.SettingChange;

/** Thrown when another operator has already changed the same subtree. */
public final class SettingsConflictException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param subtree the subtree
     * @param baseVersion the version on which the author based the change
     * @param latest the latest change by another author
     */
    public SettingsConflictException(String subtree, long baseVersion, SettingChange latest) {
        super(subtree + " was changed after version " + baseVersion + ": version " + latest.version() + " by "
                + latest.author());
    }
}
