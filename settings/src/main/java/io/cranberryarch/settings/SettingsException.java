package io.cranberryarch.settings;

import java.util.List;

/** Thrown when settings are invalid. Lists all faults found. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final List<String> faults;

    /**
     * Creates an exception with the faults.
     *
     * @param faults one message per fault, not empty, copied
     */
    public SettingsException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns the faults.
     *
     * @return one message per fault, never empty, unmodifiable
     */
    public List<String> getFaults() {
        return faults;
    }
}
