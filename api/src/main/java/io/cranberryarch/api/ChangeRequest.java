package io.cranberryarch.api;

import java.util.List;

/**
 * A change of the shared settings that an operator asks for.
 *
 * @param changeId chosen by the operator, the same in every attempt
 * @param baseVersion the version that the operator has seen; a later change of the same subtree is a conflict
 * @param edits what to set and remove, all in one subtree of a team
 */
public record ChangeRequest(String changeId, long baseVersion, List<EditBody> edits) {}
