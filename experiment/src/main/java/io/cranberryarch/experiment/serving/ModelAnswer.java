package io.cranberryarch.experiment.serving;

import io.cranberryarch.decision.serving.SendOutcome;
import java.util.Map;

/**
 * The outcome of one send to an instance.
 *
 * @param outcome how the send ended
 * @param slotTimesMs the slot time that the request and its nested calls used, in milliseconds by service
 */
record ModelAnswer(SendOutcome outcome, Map<String, Double> slotTimesMs) {

    static ModelAnswer of(SendOutcome outcome) {
        return new ModelAnswer(outcome, Map.of());
    }
}
