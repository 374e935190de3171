package io.cranberryarch.experiment;

/**
 * The answer to a call of the model.
 *
 * @param isOk whether the call succeeded
 * @param threshold the lowest threshold on the path of the call, see {@link
 *     io.cranberryarch.decision.admission.AdmissionLevel}
 */
record ModelAnswer(boolean isOk, int threshold) {}
