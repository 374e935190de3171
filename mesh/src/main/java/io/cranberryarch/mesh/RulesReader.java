package io.cranberryarch.mesh;

import io.cranberryarch.settings.SettingsException;
import io.cranberryarch.settings.serving.ServingRules;

/** Reads the operators' document. */
@FunctionalInterface
public interface RulesReader {

    /**
     * Reads a document.
     *
     * @param document the document as the platform stores it, not {@code null}
     * @return the rules
     * @throws SettingsException if the document is malformed
     */
    ServingRules read(byte[] document) throws SettingsException;
}
