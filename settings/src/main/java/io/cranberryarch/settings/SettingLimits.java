package io.cranberryarch.settings;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits on the settings of one change and one team.
 *
 * <pre>
 * SettingLimits.check(tree, "/teams/orders", edits);
 * </pre>
 */
public final class SettingLimits {

    /** The maximum number of edits in one change. */
    public static final int MAX_EDITS = 200;
    /** The maximum length of a value, in characters. */
    public static final int MAX_VALUE_LENGTH = 1_000;
    /** The maximum number of settings of one team. */
    public static final int MAX_SETTINGS_PER_TEAM = 5_000;

    private SettingLimits() {}

    /**
     * Checks a change against the limits.
     *
     * @param tree the settings before the change, not {@code null}
     * @param subtree the subtree of the team, not {@code null}
     * @param edits the edits, all within the subtree, not {@code null}
     * @throws SettingsException if the change exceeds limits; lists all of them
     */
    public static void check(SettingTree tree, String subtree, List<SettingEdit> edits) throws SettingsException {
        List<String> faults = new ArrayList<>();
        if (edits.size() > MAX_EDITS) {
            faults.add("a change has at most " + MAX_EDITS + " edits, this one has " + edits.size());
        }
        int size = tree.getValues(subtree).size();
        for (SettingEdit edit : edits) {
            String path = edit.path().toString();
            if (edit.value().isPresent() && tree.get(path).isEmpty()) {
                size++;
            }
            if (edit.value().orElse("").length() > MAX_VALUE_LENGTH) {
                faults.add(path + ": a value has at most " + MAX_VALUE_LENGTH + " characters");
            }
        }
        if (size > MAX_SETTINGS_PER_TEAM) {
            faults.add(subtree + ": a team has at most " + MAX_SETTINGS_PER_TEAM + " settings");
        }
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
    }
}
