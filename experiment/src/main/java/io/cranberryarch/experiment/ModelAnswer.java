package io.cranberryarch.experiment;

/**
 * The answer to a call of the model.
 *
 * @param isOk whether the whole answer came
 * @param threshold the lowest threshold on the way, see {@link io.cranberryarch.decision.admission.AdmissionLevel}
 */
record ModelAnswer(boolean isOk, int threshold) {}
