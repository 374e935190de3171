package io.cranberryarch.node.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.cranberryarch.api.ApiJson;
import io.cranberryarch.api.ChangeRequest;
import io.cranberryarch.api.EditBody;
import io.cranberryarch.settings.OperatorGrant;
import io.cranberryarch.settings.SettingEdit;
import io.cranberryarch.settings.SettingLimits;
import io.cranberryarch.settings.SettingPath;
import io.cranberryarch.settings.SettingsException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A settings change proposed by an operator, whose form and permissions have been checked.
 *
 * @param changeId the identifier of the change, chosen by the operator
 * @param baseVersion the settings version that the change is based on
 * @param subtree the subtree of the team whose settings are changed, the same for all edits
 * @param edits the values to set and to remove
 */
record ChangeProposal(String changeId, long baseVersion, String subtree, List<SettingEdit> edits) {

    private static final int MAX_ID_LENGTH = 100;

    /** Copies the edits. */
    ChangeProposal {
        edits = List.copyOf(edits);
    }

    /** Parses a request body. Error messages state what is allowed and never repeat the body. */
    static ChangeProposal parse(byte[] body, OperatorGrant operator)
            throws ApiException, SettingsException, IOException {
        ChangeRequest request = read(body);
        String id = request.changeId();
        if (id == null || id.isEmpty() || id.length() > MAX_ID_LENGTH) {
            throw createBadRequest("changeId: 1 to " + MAX_ID_LENGTH + " characters are required");
        }
        if (request.baseVersion() < 0) {
            throw createBadRequest("baseVersion: must not be negative");
        }
        int count = request.edits() == null ? 0 : request.edits().size();
        if (count < 1 || count > SettingLimits.MAX_EDITS) {
            throw createBadRequest("edits: 1 to " + SettingLimits.MAX_EDITS + " are required");
        }
        List<SettingEdit> edits = new ArrayList<>();
        Optional<String> team = Optional.empty();
        for (EditBody edit : request.edits()) {
            SettingPath path = toPath(edit, operator);
            if (path.getTeam().isEmpty() || (team.isPresent() && !team.equals(path.getTeam()))) {
                throw createBadRequest("edits: all paths must lie in one team's subtree");
            }
            team = path.getTeam();
            edits.add(new SettingEdit(path, Optional.ofNullable(edit.value())));
        }
        return new ChangeProposal(id, request.baseVersion(), "/teams/" + team.orElseThrow(), edits);
    }

    private static ChangeRequest read(byte[] body) throws ApiException, IOException {
        ChangeRequest request;
        try {
            request = ApiJson.MAPPER.readValue(body, ChangeRequest.class);
        } catch (JsonProcessingException e) {
            throw createBadRequest("the body is no change: " + e.getOriginalMessage());
        }
        if (request == null) {
            throw createBadRequest("the body is no change");
        }
        return request;
    }

    private static SettingPath toPath(EditBody edit, OperatorGrant operator) throws ApiException, SettingsException {
        if (edit == null || edit.path() == null) {
            throw createBadRequest("edits: a path is required");
        }
        SettingPath path = SettingPath.of(edit.path());
        if (!operator.isAllowed(path)) {
            throw new ApiException(403, "not-your-subtree", List.of(path + " belongs to another team"));
        }
        return path;
    }

    private static ApiException createBadRequest(String detail) {
        return new ApiException(400, "bad-request", List.of(detail));
    }
}
