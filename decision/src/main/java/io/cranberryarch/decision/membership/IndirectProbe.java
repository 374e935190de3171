package io.cranberryarch.decision.membership;

/**
 * A request to a member to probe another one that did not answer.
 *
 * @param via the member to ask
 * @param target the member to probe
 */
public record IndirectProbe(Member via, Member target) {}
