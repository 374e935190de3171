package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.base.Clock;
import io.cranberryarch.context.ForwardedRequest;
import io.cranberryarch.context.HeaderField;
import io.cranberryarch.net.ByteBudget;
import io.cranberryarch.net.EventLoop;
import io.cranberryarch.net.HttpClientPool;
import io.cranberryarch.net.HttpResponseMessage;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class GateTest {

    /** The limit of an upstream with 20 slots, of which one is reserved. */
    private static final int LIMIT = 19;

    /**
     * Guards against an order that is reported as not run although it runs: an upstream repeats an earlier refusal
     * without an identifier on a kept connection, where the response to the order is expected.
     */
    @Test
    void refusalWithoutIdentifierIsNotBelieved() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member member = fleet.add("node-a", "zone-a");
            fleet.publish(1);
            fleet.start();
            for (int status : List.of(503, 421)) {
                HeaderField notExecuted = new HeaderField(TestHeaderNames.NAMES.notExecuted(), "1");
                member.upstream()
                        .setBehaviour(exchange -> exchange.respond(HttpResponseMessage.ofEmpty(status, notExecuted)));
                HttpResponse<String> answer = TestFleet.get(fleet.send(member, "POST", "/order/1", "key-of-ana"));
                assertEquals(502, answer.statusCode(), answer.body());
                assertTrue(answer.body().contains("answer-without-id"), answer.body());
            }
        }
    }

    /**
     * Guards against an order that is reported as not run although it runs: a nested call is made again under the
     * identifier of an earlier one, whose refusal the upstream repeats.
     */
    @Test
    void secondRefusalOfTheSameIdentifierIsNotBelieved() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member member = fleet.add("node-a", "zone-a");
            fleet.publish(1);
            fleet.start();
            member.upstream().setBehaviour(member.upstream()::reject);
            HttpResponse<String> first = TestFleet.get(fleet.sendAs("id-1", member, "POST", "/order/1", "key-of-ana"));
            assertEquals(503, first.statusCode(), first.body());
            HttpResponse<String> other = TestFleet.get(fleet.sendAs("id-2", member, "POST", "/order/1", "key-of-ana"));
            assertEquals(503, other.statusCode(), other.body());
            HttpResponse<String> second = TestFleet.get(fleet.sendAs("id-1", member, "POST", "/order/1", "key-of-ana"));
            assertEquals(502, second.statusCode(), second.body());
        }
    }

    /**
     * Guards against waiting requests that are never refused. The node is otherwise idle while they wait, so that only
     * the gate's own timer can end them.
     */
    @Test
    void requestsThatWaitTooLongForASlotAreRefusedAsNotRun() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member member = fleet.add("node-a", "zone-a");
            fleet.publish(1);
            fleet.start();
            member.upstream().setBehaviour(exchange -> {});
            List<CompletableFuture<HttpResponse<String>>> running = new ArrayList<>();
            for (int i = 0; i < LIMIT; i++) {
                running.add(fleet.send(member, "GET", "/read/1", "key-of-ana"));
            }
            TestFleet.await(() -> member.upstream().getArrived().size() == LIMIT);
            for (int round = 0; round < 2; round++) {
                HttpResponse<String> refused = TestFleet.get(fleet.send(member, "GET", "/read/1", "key-of-ana", "600"));
                assertEquals(503, refused.statusCode());
                assertTrue(refused.body().contains("overloaded"), refused.body());
                assertTrue(refused.body().contains("not-run"), refused.body());
            }
            assertEquals(LIMIT, member.upstream().getArrived().size());
            assertTrue(running.stream().noneMatch(CompletableFuture::isDone));
        }
    }

    /**
     * Guards against requests that reach an upstream seconds after its leave was acknowledged: they wait for a
     * connection that the upstream accepts only then. Those that wait for a slot are refused as well.
     */
    @Test
    void requestsThatAreNotSentAreRefusedWhenTheUpstreamLeaves() throws Exception {
        EventLoop loop = new EventLoop(Clock.system());
        EventLog log = new EventLog(10, line -> {});
        List<SocketChannel> connections = new ArrayList<>();
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", unresponsive.getLocalPort());
            fillQueue(address, connections);
            UpstreamState upstream = new UpstreamState(loop, log);
            upstream.onReport(new UpstreamReport("i-1", 1, 1, "stock", 1, false, 0));
            HttpClientPool pool = new HttpClientPool(loop, address, 1_000, 1_000, new ByteBudget(1_000));
            RateLimitTracker rateLimit = new RateLimitTracker(loop, upstream, log);
            Gate gate = new Gate(loop, pool, TestHeaderNames.NAMES, upstream, rateLimit, log);
            List<String> answers = new ArrayList<>();
            gate.handle(toRequest("connecting"), answer -> answers.add(answer.execution() + " " + answer.reason()));
            gate.handle(toRequest("waiting"), answer -> answers.add(answer.execution() + " " + answer.reason()));
            assertEquals(1, gate.countWaiting());
            upstream.onLeave("i-1", 1);
            assertEquals(List.of("NOT_RUN leaving", "NOT_RUN leaving"), answers);
            assertEquals(0, gate.countInFlight());
        } finally {
            for (SocketChannel connection : connections) {
                connection.close();
            }
            loop.close();
            log.close();
        }
    }

    /** Opens connections until the server's queue of new connections is full and a further one stays pending. */
    private static void fillQueue(InetSocketAddress address, List<SocketChannel> connections) throws Exception {
        boolean isPending = false;
        while (!isPending) {
            SocketChannel connection = SocketChannel.open();
            connections.add(connection);
            connection.configureBlocking(false);
            connection.connect(address);
            Thread.sleep(200);
            isPending = !connection.finishConnect();
        }
    }

    private static ForwardedRequest toRequest(String id) {
        return new ForwardedRequest(
                id, "stock", "read", 0, false, false, 4_000, "GET", "/read/1", List.of(), new byte[0], false);
    }
}
