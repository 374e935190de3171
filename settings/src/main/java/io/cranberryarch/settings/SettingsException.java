package io.cranberryarch.settings;

import java.util.List;

/** Thrown when settings are not valid. Every fault found is listed. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final List<String> faults;

    /**
     * Creates an exception.
     *
     * @param faults one sentence for each fault, not empty
     */
    public SettingsException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    /**
     * Gets the faults.
     *
     * @return one sentence for each fault, never empty
     */
    public List<String> getFaults() {
        return faults;
    }
}
