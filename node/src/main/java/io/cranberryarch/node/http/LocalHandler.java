package io.cranberryarch.node.http;

import io.cranberryarch.api.AnnounceBody;
import io.cranberryarch.api.ApiJson;
import io.cranberryarch.api.ErrorBody;
import io.cranberryarch.base.Clock;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.context.RequestContext;
import io.cranberryarch.context.RequestHeaders;
import io.cranberryarch.decision.membership.MemberState;
import io.cranberryarch.node.call.ActiveCall;
import io.cranberryarch.node.call.ActiveCalls;
import io.cranberryarch.node.call.CallService;
import io.cranberryarch.node.config.SettingsService;
import io.cranberryarch.node.member.MemberService;
import io.cranberryarch.settings.Route;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handles announcements and nested calls of the local upstream. */
public final class LocalHandler extends Handler.Abstract.NonBlocking {

    /** The path of announcements. */
    public static final String ANNOUNCE_PATH = "/v1/announce";

    private static final int MAX_SLOTS = 100_000;

    private final SettingsService settings;
    private final MemberService members;
    private final ActiveCalls activeCalls;
    private final CallService calls;
    private final Clock clock;
    private final int maxBodyBytes;

    /**
     * Creates a handler.
     *
     * @param settings the settings in force
     * @param members receives announced states and slots
     * @param activeCalls the calls in execution at the upstream
     * @param calls sends nested calls
     * @param clock the clock
     * @param maxBodyBytes the maximum length of a request body in bytes
     */
    public LocalHandler(
            SettingsService settings,
            MemberService members,
            ActiveCalls activeCalls,
            CallService calls,
            Clock clock,
            int maxBodyBytes) {
        this.settings = settings;
        this.members = members;
        this.activeCalls = activeCalls;
        this.calls = calls;
        this.clock = clock;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        HttpRequests.read(request, maxBodyBytes).whenComplete((body, failure) -> {
            if (failure != null) {
                HttpResponses.writeRefusal(response, callback, HttpRequests.toRefusal(failure), "");
            } else if (Request.getPathInContext(request).equals(ANNOUNCE_PATH)) {
                announce(body, response, callback);
            } else {
                sendNested(request, body, response, callback);
            }
        });
        return true;
    }

    private void announce(byte[] body, Response response, Callback callback) {
        try {
            AnnounceBody announcement = ApiJson.MAPPER.readValue(body, AnnounceBody.class);
            if (announcement.state() == null || announcement.slots() < 1 || announcement.slots() > MAX_SLOTS) {
                throw new IOException("state and slots from 1 to " + MAX_SLOTS + " are required");
            }
            switch (announcement.state()) {
                case "up" -> members.setState(MemberState.UP);
                case "draining" -> members.setState(MemberState.DRAINING);
                default -> throw new IOException("state must be up or draining");
            }
            members.setSlots(announcement.slots());
            HttpResponses.writeJson(response, callback, 200, announcement);
        } catch (IOException e) {
            ErrorBody error = new ErrorBody("bad-announcement", List.of(String.valueOf(e.getMessage())));
            HttpResponses.writeJson(response, callback, 400, error);
        }
    }

    private void sendNested(Request request, byte[] body, Response response, Callback callback) {
        String token = request.getHeaders().get(RequestHeaders.CALL_TOKEN);
        Optional<ActiveCall> parent = Optional.ofNullable(token).flatMap(activeCalls::find);
        Optional<Route> route = settings.getFleetSettings().findRoute(Request.getPathInContext(request));
        Optional<Refusal> refusal = checkNestedCall(parent, route);
        if (refusal.isPresent()) {
            HttpResponses.writeRefusal(response, callback, refusal.get(), "");
            return;
        }
        CallRequest call = createNestedCall(request, body, parent.orElseThrow(), route.orElseThrow());
        String requestId = call.context().requestId();
        boolean isFirst = HttpRequests.isFirstAttempt(request);
        CompletableFuture<CallResult> pendingResult = calls.send(call);
        parent.get().addNested(pendingResult);
        pendingResult.whenComplete((result, failure) -> {
            CallResult finalResult = failure == null
                    ? HttpResponses.adjustExecution(
                            result, call.context().toAtMostOnceKey().isPresent(), isFirst)
                    : CallResult.ofRefusal(Refusal.ofUnknown(RefusalReason.UPSTREAM_FAILED, 0), 0, Optional.empty());
            parent.get().returnRetryTokens(finalResult.retryTokens());
            HttpResponses.write(response, callback, finalResult, requestId);
        });
    }

    private static Optional<Refusal> checkNestedCall(Optional<ActiveCall> parent, Optional<Route> route) {
        if (parent.isEmpty()) {
            return Optional.of(Refusal.ofNotRun(RefusalReason.KEY_REJECTED, 0));
        }
        if (route.isEmpty()) {
            return Optional.of(Refusal.ofNotRun(RefusalReason.NO_ROUTE, 0));
        }
        if (parent.get().getContext().depth() + 1 >= RequestContext.MAX_DEPTH) {
            return Optional.of(Refusal.ofNotRun(RefusalReason.BAD_REQUEST, 0));
        }
        return Optional.empty();
    }

    private CallRequest createNestedCall(Request request, byte[] body, ActiveCall parent, Route route) {
        Optional<String> key = Optional.ofNullable(request.getHeaders().get(RequestHeaders.IDEMPOTENCY_KEY));
        return new CallRequest(
                parent.getContext().toNested(route.idempotent(), key),
                route.service(),
                Math.min(route.timeoutMs(), parent.computeRemainingMs(clock.monotonicMs())),
                parent.reserveRetryTokens(),
                request.getMethod(),
                request.getHttpURI().getPathQuery(),
                HttpRequests.toForwardedHeaders(request),
                body);
    }
}
