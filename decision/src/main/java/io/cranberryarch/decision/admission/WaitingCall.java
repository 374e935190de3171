package io.cranberryarch.decision.admission;

import io.cranberryarch.settings.Priority;

/**
 * A call that asks for admission.
 *
 * @param id the identifier given by the caller of the state machine
 * @param priority the priority
 * @param account the client account
 * @param kind the kind of the caller's request
 * @param weight the share of the client account relative to others, positive
 * @param level the admission level, see {@link AdmissionLevel}
 * @param deadlineMs the monotonic time at which the answer is of no use, in milliseconds
 */
public record WaitingCall(
        long id, Priority priority, String account, String kind, double weight, int level, long deadlineMs) {}
