package io.cranberryarch.decision.admission;

import io.cranberryarch.settings.Priority;

/**
 * A call that requests admission.
 *
 * @param id the identifier assigned by the user of {@link AdmissionControl}
 * @param priority the priority
 * @param account the client account
 * @param kind the kind of the caller's request
 * @param weight the share of the client account relative to others, positive
 * @param level the admission level, see {@link AdmissionLevel}
 * @param isNested whether another call of the same request is running already
 * @param deadlineMs the monotonic time from which the answer is useless, in milliseconds
 */
public record WaitingCall(
        long id,
        Priority priority,
        String account,
        String kind,
        double weight,
        int level,
        boolean isNested,
        long deadlineMs) {}
