package io.cranberryarch.settings;

import java.util.Optional;

/**
 * What an operator may change.
 *
 * @param name the operator's name
 * @param team the team whose subtree the operator changes, or empty for the owner, who changes all
 */
public record OperatorGrant(String name, Optional<String> team) {

    /**
     * Checks whether the operator may change a path.
     *
     * @param path the path, not {@code null}
     * @return whether the change is allowed
     */
    public boolean isAllowed(SettingPath path) {
        return team.isEmpty() || path.getTeam().equals(team);
    }

    /**
     * Checks whether the operator may read a path.
     *
     * @param path the path, not {@code null}
     * @return whether reading is allowed
     */
    public boolean isReadable(SettingPath path) {
        return isAllowed(path);
    }
}
