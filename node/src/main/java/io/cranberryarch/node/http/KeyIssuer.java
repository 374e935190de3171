package io.cranberryarch.node.http;

import io.cranberryarch.api.IssuedKeysBody;
import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import io.cranberryarch.node.call.IdempotencyKeyService;
import io.cranberryarch.node.config.SettingsService;
import io.cranberryarch.node.rate.RateService;
import io.cranberryarch.settings.ClientAccount;
import io.cranberryarch.settings.Route;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * Issues idempotency keys to callers: {@code POST /.well-known/cranberryarch/idempotency-keys?path=/orders&count=10}.
 *
 * <p>The parameter {@code path} is the path of the requests that will use the keys, {@code count} the number of keys, 1
 * if absent.
 */
final class KeyIssuer {

    /** The path at which keys are issued. */
    static final String PATH = "/.well-known/cranberryarch/idempotency-keys";

    private static final long RETRY_AFTER_MS = 1_000;

    private final SettingsService settings;
    private final Credentials credentials;
    private final RateService rates;
    private final IdempotencyKeyService keys;

    KeyIssuer(SettingsService settings, Credentials credentials, RateService rates, IdempotencyKeyService keys) {
        this.settings = settings;
        this.credentials = credentials;
        this.rates = rates;
        this.keys = keys;
    }

    void handle(Request request, Response response, Callback callback) {
        Optional<ClientAccount> account = credentials.authenticate(request);
        if (account.isEmpty()) {
            refuse(response, callback, Refusal.ofNotRun(RefusalReason.KEY_REJECTED, 0));
            return;
        }
        rates.charge(account.get())
                .thenAccept(refusal -> refusal.ifPresentOrElse(
                        overRate -> refuse(response, callback, overRate),
                        () -> issue(request, response, callback, account.get())));
    }

    private void issue(Request request, Response response, Callback callback, ClientAccount account) {
        Fields query = Request.extractQueryParameters(request);
        Optional<Route> route = Optional.ofNullable(query.getValue("path"))
                .flatMap(path -> settings.getFleetSettings().findRoute(path));
        String count = Optional.ofNullable(query.getValue("count")).orElse("1");
        if (route.isEmpty() || !request.getMethod().equals("POST") || !isCount(count)) {
            RefusalReason reason = route.isEmpty() ? RefusalReason.NO_ROUTE : RefusalReason.BAD_REQUEST;
            refuse(response, callback, Refusal.ofNotRun(reason, 0));
            return;
        }
        List<String> issued = keys.issue(route.get().service(), account.name(), Integer.parseInt(count));
        if (issued.isEmpty()) {
            refuse(response, callback, Refusal.ofNotRun(RefusalReason.NO_UPSTREAM, RETRY_AFTER_MS));
            return;
        }
        HttpResponses.writeJson(response, callback, 200, new IssuedKeysBody(issued));
    }

    private static void refuse(Response response, Callback callback, Refusal refusal) {
        HttpResponses.writeRefusal(response, callback, refusal, "");
    }

    private static boolean isCount(String text) {
        return text.matches("[1-9]\\d{0,2}") && Integer.parseInt(text) <= IdempotencyKeyService.MAX_KEYS_PER_REQUEST;
    }
}
