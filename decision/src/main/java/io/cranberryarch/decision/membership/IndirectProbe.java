package io.cranberryarch.decision.membership;

/**
 * A request to a member to probe another member that did not answer.
 *
 * @param via the member that is asked to probe
 * @param target the member to probe
 */
public record IndirectProbe(Member via, Member target) {}
