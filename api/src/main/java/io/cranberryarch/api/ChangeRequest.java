package io.cranberryarch.api;

import java.util.List;

/**
 * A change of the shared settings requested by an operator.
 *
 * @param changeId the identifier chosen by the operator, the same in every attempt
 * @param baseVersion the version on which the change is based; a later change of the same subtree is a conflict
 * @param edits the paths to set and remove, all in one subtree of a team
 */
public record ChangeRequest(String changeId, long baseVersion, List<EditBody> edits) {}
