package io.cranberryarch.node.http;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.cranberryarch.api.ChangeBody;
import io.cranberryarch.api.CountsBody;
import io.cranberryarch.api.EditBody;
import io.cranberryarch.api.ErrorBody;
import io.cranberryarch.api.HistoryBody;
import io.cranberryarch.api.KeysBody;
import io.cranberryarch.api.SettingsBody;
import io.cranberryarch.api.StatusBody;
import io.cranberryarch.base.Digests;
import io.cranberryarch.context.LoadReport;
import io.cranberryarch.counts.CountsStore;
import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.membership.MemberState;
import io.cranberryarch.node.call.Gate;
import io.cranberryarch.node.config.SettingsConflictException;
import io.cranberryarch.node.config.SettingsService;
import io.cranberryarch.node.member.MemberService;
import io.cranberryarch.node.metrics.NodeMetrics;
import io.cranberryarch.settings.AccountKey;
import io.cranberryarch.settings.ClientAccount;
import io.cranberryarch.settings.OperatorGrant;
import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.settings.SettingEdit;
import io.cranberryarch.settings.SettingsException;
import io.cranberryarch.store.PlatformException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.tinylog.Logger;

/** Handles requests to the administration interface of operators, and serves metrics to scrapers. */
public final class AdminHandler extends Handler.Abstract.NonBlocking {

    private static final int MAX_BODY_BYTES = 1024 * 1024;

    private final SettingsService settings;
    private final MemberService members;
    private final Gate gate;
    private final NodeMetrics metrics;
    private final CountsStore counts;
    private final Optional<String> ownerTokenSha256;
    private final Executor blocking;

    /**
     * Creates a handler.
     *
     * @param settings the shared settings
     * @param members the membership of the fleet
     * @param gate the gate of this node
     * @param metrics the metrics of this node
     * @param counts the store to read daily counts from
     * @param ownerTokenSha256 the SHA-256 digest of the owner's token in hexadecimal, empty if not configured
     * @param blocking executes requests that block on the platform
     */
    public AdminHandler(
            SettingsService settings,
            MemberService members,
            Gate gate,
            NodeMetrics metrics,
            CountsStore counts,
            Optional<String> ownerTokenSha256,
            Executor blocking) {
        this.settings = settings;
        this.members = members;
        this.gate = gate;
        this.metrics = metrics;
        this.counts = counts;
        this.ownerTokenSha256 = ownerTokenSha256;
        this.blocking = blocking;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.equals("/metrics")) {
            HttpResponses.writeText(response, callback, metrics.toText());
            return true;
        }
        Optional<OperatorGrant> operator = Credentials.parseBearerToken(request).flatMap(this::findOperator);
        if (operator.isEmpty()) {
            writeError(response, callback, 401, "operator-unknown", "a valid operator token is required");
            return true;
        }
        HttpRequests.read(request, MAX_BODY_BYTES).whenComplete((body, failure) -> {
            if (failure != null) {
                writeError(response, callback, 400, "bad-request", "failed to read the request body");
            } else {
                blocking.execute(() -> respond(path, request, body, operator.get(), response, callback));
            }
        });
        return true;
    }

    private void respond(
            String path, Request request, byte[] body, OperatorGrant operator, Response response, Callback callback) {
        try {
            Object result =
                    switch (request.getMethod() + " " + path) {
                        case "GET /v1/settings" -> readSettings(getParameter(request, "path", "/"), operator);
                        case "GET /v1/history" -> readHistory(getParameter(request, "path", "/"), operator);
                        case "GET /v1/keys" -> listKeys(operator);
                        case "POST /v1/settings" -> commitChange(body, operator);
                        case "GET /v1/status" -> createStatus();
                        case "POST /v1/drain" -> drain(operator);
                        case "POST /v1/withdraw" -> withdrawKey(getParameter(request, "key", ""), operator);
                        case "GET /v1/counts" -> readCounts(getParameter(request, "day", ""));
                        default -> throw new ApiException(404, "no-such-resource", List.of(path));
                    };
            HttpResponses.writeJson(response, callback, 200, result);
        } catch (ApiException e) {
            HttpResponses.writeJson(response, callback, e.getStatus(), e.getBody());
        } catch (SettingsException e) {
            HttpResponses.writeJson(response, callback, 400, new ErrorBody("invalid-settings", e.getFaults()));
        } catch (IOException e) {
            writeError(response, callback, 400, "bad-request", String.valueOf(e.getMessage()));
        } catch (PlatformException e) {
            writeError(response, callback, 503, "platform-unreachable", e.getMessage());
        } catch (RuntimeException e) {
            Logger.error(e, "admin-request-failed path={}", path);
            writeError(response, callback, 500, "internal-error", "the request failed; see the log of the node");
        }
    }

    private CountsBody readCounts(String day) throws ApiException, PlatformException {
        if (!CountsStore.isDay(day)) {
            throw new ApiException(400, "bad-request", List.of("day: expected YYYY-MM-DD"));
        }
        return counts.readDay(day);
    }

    private SettingsBody readSettings(String prefix, OperatorGrant operator) throws ApiException {
        checkReadAccess(prefix, operator);
        return new SettingsBody(
                settings.getVersion(), new TreeMap<>(settings.getTree().getValues(prefix)));
    }

    private HistoryBody readHistory(String prefix, OperatorGrant operator) throws ApiException {
        checkReadAccess(prefix, operator);
        List<ChangeBody> changes = new ArrayList<>();
        for (SettingChange change : settings.getChanges()) {
            List<EditBody> edits = new ArrayList<>();
            for (SettingEdit edit : change.edits()) {
                if (edit.path().isWithin(prefix)) {
                    edits.add(new EditBody(edit.path().toString(), edit.value().orElse(null)));
                }
            }
            if (!edits.isEmpty()) {
                changes.add(new ChangeBody(change.version(), change.author(), change.atMs(), edits));
            }
        }
        return new HistoryBody(changes);
    }

    private ChangeBody commitChange(byte[] body, OperatorGrant operator)
            throws ApiException, SettingsException, PlatformException, IOException {
        ChangeProposal proposal = ChangeProposal.parse(body, operator);
        try {
            long version = settings.propose(
                    proposal.changeId(), operator.name(), proposal.baseVersion(), proposal.subtree(), proposal.edits());
            List<EditBody> edits = new ArrayList<>();
            proposal.edits()
                    .forEach(edit -> edits.add(
                            new EditBody(edit.path().toString(), edit.value().orElse(null))));
            return new ChangeBody(version, operator.name(), 0, edits);
        } catch (SettingsConflictException e) {
            throw new ApiException(409, "conflict", List.of(e.getMessage()));
        }
    }

    private KeysBody listKeys(OperatorGrant operator) {
        List<KeysBody.KeyBody> keys = new ArrayList<>();
        for (AccountKey key : new TreeMap<>(settings.getFleetSettings().getKeys()).values()) {
            Optional<String> team =
                    settings.getFleetSettings().getAccount(key.account()).map(ClientAccount::team);
            if (operator.team().isEmpty() || operator.team().equals(team)) {
                keys.add(new KeysBody.KeyBody(key.id(), key.account(), settings.isWithdrawn(key.id())));
            }
        }
        return new KeysBody(keys);
    }

    private StatusBody createStatus() {
        Member self = members.getSelf();
        LoadReport load = gate.getLoad();
        List<StatusBody.MemberBody> others = new ArrayList<>();
        for (Member member : members.getMembers()) {
            others.add(new StatusBody.MemberBody(
                    member.instance(),
                    member.zone(),
                    member.service(),
                    member.state().name(),
                    member.host() + ":" + member.peerPort()));
        }
        return new StatusBody(
                self.instance(),
                self.incarnation(),
                self.zone(),
                self.service(),
                self.state().name(),
                settings.getVersion(),
                settings.isPlatformReachable(),
                load.inFlight(),
                load.limit(),
                others);
    }

    private StatusBody drain(OperatorGrant operator) throws ApiException {
        requireOwner(operator);
        members.setState(MemberState.DRAINING);
        return createStatus();
    }

    private StatusBody withdrawKey(String keyId, OperatorGrant operator) throws ApiException {
        Optional<String> team = settings.getFleetSettings()
                .getKey(keyId)
                .flatMap(key -> settings.getFleetSettings().getAccount(key.account()))
                .map(account -> account.team());
        if (team.isEmpty()) {
            throw new ApiException(404, "no-such-key", List.of("key '" + keyId + "' does not exist"));
        }
        if (operator.team().isPresent() && !operator.team().equals(team)) {
            throw new ApiException(403, "not-your-subtree", List.of("the key belongs to another team"));
        }
        settings.addWithdrawnKeys(List.of(keyId));
        return createStatus();
    }

    private static void checkReadAccess(String prefix, OperatorGrant operator) throws ApiException {
        if (operator.team().isEmpty()) {
            return;
        }
        String subtree = "/teams/" + operator.team().get();
        if (!prefix.equals(subtree) && !prefix.startsWith(subtree + "/")) {
            throw new ApiException(403, "not-your-subtree", List.of(prefix + " is outside the operator's subtree"));
        }
    }

    private static void requireOwner(OperatorGrant operator) throws ApiException {
        if (operator.team().isPresent()) {
            throw new ApiException(403, "owner-only", List.of("only the owner may do this"));
        }
    }

    private Optional<OperatorGrant> findOperator(String token) {
        String hash = Digests.toSha256Hex(token);
        if (ownerTokenSha256.isPresent()
                && Digests.isEqual(
                        hash.getBytes(US_ASCII), ownerTokenSha256.get().getBytes(US_ASCII))) {
            return Optional.of(new OperatorGrant("owner", Optional.empty()));
        }
        return settings.getFleetSettings().getOperator(hash);
    }

    private static String getParameter(Request request, String name, String defaultValue) {
        Fields fields = Request.extractQueryParameters(request);
        String value = fields.getValue(name);
        return value == null ? defaultValue : value;
    }

    private static void writeError(Response response, Callback callback, int status, String error, String detail) {
        HttpResponses.writeJson(response, callback, status, new ErrorBody(error, List.of(detail)));
    }
}
