package io.cranberryarch.settings;

import java.util.Optional;

/**
 * The permissions of an operator.
 *
 * @param name the name of the operator
 * @param team the team whose subtree the operator may read and change, or empty for the owner, who may read and change
 *     all
 */
public record OperatorGrant(String name, Optional<String> team) {

    /**
     * Checks whether the operator may change a path.
     *
     * @param path the path, not {@code null}
     * @return whether the operator may change the path
     */
    public boolean isAllowed(SettingPath path) {
        return team.isEmpty() || path.getTeam().equals(team);
    }

    /**
     * Checks whether the operator may read a path.
     *
     * @param path the path, not {@code null}
     * @return whether the operator may read the path
     */
    public boolean isReadable(SettingPath path) {
        return isAllowed(path);
    }
}
