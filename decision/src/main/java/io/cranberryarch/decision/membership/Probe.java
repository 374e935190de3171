package io.cranberryarch.decision.membership;

/**
 * A message to send to a member. Its answer is reported back, and its failure if the member is judged by it.
 *
 * @param target the member
 * @param delta what to tell it
 * @param isFailureReported whether a missing answer is to be reported
 */
public record Probe(Member target, MemberDelta delta, boolean isFailureReported) {}
