package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.net.HttpExchange;
import io.cranberryarch.settings.serving.AccountRule;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests the log lines about failed requests and the metrics of a node. */
class LogsAndMetricsTest extends TwoNodesTest {

    @Test
    void everyRefusalIsLoggedAndNoLineContainsAKey() throws Exception {
        send("GET", "/read/7", "key-of-nobody");
        send("GET", "/nowhere/7", KEY);
        near.upstream().setBehaviour(near.upstream()::reject);
        far.upstream().setBehaviour(far.upstream()::reject);
        send("POST", "/order/7", KEY);
        near.upstream().setBehaviour(TwoNodesTest::answerWithoutIdentifier);
        far.upstream().setBehaviour(TwoNodesTest::answerWithoutIdentifier);
        send("POST", "/order/8", KEY);
        fleet.setAccounts(new AccountRule("ana", List.of(KEY), Optional.empty(), 1, 1));
        fleet.publish(3);
        TestFleet.await(() -> send("GET", "/read/7", KEY).statusCode() == 429);
        for (String pattern : List.of(
                "outcome=key-rejected .* rules-version=1 rules-age-ms=\\d+",
                "outcome=no-route .* rules-version=1 rules-age-ms=\\d+",
                "outcome=rejected-by-upstream .* attempts=2 tried=node-[ab],node-[ab]",
                "outcome=answer-without-id .* attempts=1 tried=node-[ab]",
                "outcome=over-rate .* share=[0-9.]+ demand-per-s=[0-9.]+ held=[-0-9.]+ nodes=2 connected=1")) {
            fleet.awaitLine(pattern);
        }
        assertFalse(fleet.getLines().stream().anyMatch(line -> line.contains("key-of-")));
    }

    @Test
    void requestThatEndsWithoutAnAnswerIsLogged() throws Exception {
        near.upstream().setBehaviour(exchange -> {});
        far.upstream().setBehaviour(exchange -> {});
        assertEquals(
                504,
                TestFleet.get(fleet.send(near, "POST", "/order/1", KEY, "300")).statusCode());
        CompletableFuture<HttpExchange> arrived = new CompletableFuture<>();
        near.upstream().setBehaviour(arrived::complete);
        far.upstream().setBehaviour(arrived::complete);
        CompletableFuture<HttpResponse<String>> abandoned = fleet.send(near, "POST", "/order/2", KEY);
        TestFleet.get(arrived);
        abandoned.cancel(true);
        near.report(2, true);
        far.report(2, true);
        TestFleet.await(() -> send("GET", "/read/3", KEY).statusCode() == 503);
        for (String pattern : List.of("outcome=timeout", "outcome=caller-left", "outcome=(no-instance|leaving)")) {
            fleet.awaitLine(pattern);
        }
    }

    @Test
    void linesAboutMalformedRequestsAreLimited() throws Exception {
        near.loop().execute(() -> near.log().setRequestLinesPerS(1));
        for (int i = 0; i < 200; i++) {
            try (Socket client = new Socket("127.0.0.1", near.getEntryPort())) {
                client.getOutputStream().write("no request\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                client.getInputStream().readAllBytes();
            }
        }
        fleet.awaitLine("^event=log-left-out");
    }

    @Test
    void metricsContainAttemptsBudgetsAndAges() throws Exception {
        near.upstream().setBehaviour(TwoNodesTest::answerWithoutIdentifier);
        assertEquals(200, send("GET", "/read/7", KEY).statusCode());
        String metrics = near.metrics();
        for (String name : List.of(
                "attempts{kind=\"first\"} 1",
                "attempts{kind=\"repeat\"} 1",
                "repeat_budget_left{service=\"stock\"} ",
                "rules_age_ms ",
                "store_contact_age_ms ",
                "upstream_report_age_ms ",
                "log_lines_left_out 0")) {
            assertTrue(metrics.contains(name), name + " is not in " + metrics);
        }
    }

    @Test
    void metricsAreServedAfterAReload() throws Exception {
        assertEquals(200, send("GET", "/read/7", KEY).statusCode());
        near.loop().execute(() -> near.node().reload(near.settings()));
        assertTrue(near.metrics().contains("repeat_budget_left{service=\"stock\"} "), near.metrics());
    }
}
