package io.cranberryarch.decision.membership;

/**
 * A message to send to a member. An answer is always reported back, a missing one only if it counts as a failure.
 *
 * @param target the member
 * @param delta the content of the message
 * @param isFailureReported whether a missing answer is to be reported
 */
public record Probe(Member target, MemberDelta delta, boolean isFailureReported) {}
