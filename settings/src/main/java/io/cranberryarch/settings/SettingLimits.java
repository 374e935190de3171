package io.cranberryarch.settings;

import java.util.ArrayList;
import java.util.List;

/**
 * Bounds on what one change and one team may set.
 *
 * <pre>
 * SettingLimits.check(tree, "/teams/orders", edits);
 * </pre>
 */
public final class SettingLimits {

    /** The most edits of one change. */
    public static final int MAX_EDITS = 200;
    /** The most characters of one value. */
    public static final int MAX_VALUE_LENGTH = 1_000;
    /** The most settings of one team. */
    public static final int MAX_SETTINGS_PER_TEAM = 5_000;

    private SettingLimits() {}

    /**
     * Checks a change.
     *
     * @param tree the settings before the change, not {@code null}
     * @param subtree the subtree of the team, not {@code null}
     * @param edits the edits, all within the subtree
     * @throws SettingsException listing every bound that the change would break
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
