package io.cranberryarch.bench;

import io.cranberryarch.base.Clock;
import io.cranberryarch.context.CallRequest;
import io.cranberryarch.context.CallResult;
import io.cranberryarch.context.RequestContext;
import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.membership.MemberState;
import io.cranberryarch.decision.routing.InstanceSelector;
import io.cranberryarch.node.call.AdmissionService;
import io.cranberryarch.node.metrics.NodeMetrics;
import io.cranberryarch.settings.Priority;
import io.cranberryarch.wire.CallMessage;
import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.FrameCodec;
import io.cranberryarch.wire.MalformedFrameException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** Measures the time of the decisions and the encoding on the path of a call. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionBenchmark {

    private static final int CANDIDATES = 14;
    private static final int BODY_BYTES = 256;
    private static final int SLOTS = 1_000;
    private static final long TIMEOUT_MS = 1_000;

    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DecisionBenchmark::createTimerThread);
    private final AdmissionService admission =
            new AdmissionService(SLOTS, Clock.system(), timer, account -> 1, new NodeMetrics());
    private final CallRequest call = createCall();
    private final CallResult result =
            new CallResult(200, List.of(), new byte[BODY_BYTES], Optional.empty(), 0, Optional.empty());
    private final List<Member> members = createMembers();
    private final Frame frame = new Frame(1, new CallMessage(call));
    private final ByteBuffer encoded = encodeFrame(frame);
    private long randomBits;

    /**
     * Admits a call and completes it.
     *
     * @return whether it was refused
     */
    @Benchmark
    public boolean admit() {
        boolean isRefused = admission.enter(call).join().isPresent();
        if (!isRefused) {
            admission.exit(call, result, 1, 0);
        }
        return isRefused;
    }

    /**
     * Selects an instance.
     *
     * @return the selected instance
     */
    @Benchmark
    public Optional<Member> pick() {
        randomBits = randomBits * 6_364_136_223_846_793_005L + 1_442_695_040_888_963_407L;
        return InstanceSelector.pick(members, "zone-a", Set.of(), Member::slots, randomBits);
    }

    /**
     * Encodes a call.
     *
     * @return the encoded frame
     * @throws IOException if the frame is too large
     */
    @Benchmark
    public ByteBuffer encode() throws IOException {
        return FrameCodec.encode(frame);
    }

    /**
     * Decodes a call.
     *
     * @return the decoded frame
     * @throws MalformedFrameException if the frame is malformed
     */
    @Benchmark
    public Optional<Frame> decode() throws MalformedFrameException {
        return FrameCodec.decode(encoded.duplicate());
    }

    static CallRequest createCall() {
        RequestContext context =
                new RequestContext("0123456789abcdef", "acme", "order", Priority.NORMAL, true, Optional.empty(), 0);
        return new CallRequest(context, "orders", TIMEOUT_MS, 3, "POST", "/orders/17", List.of(), new byte[BODY_BYTES]);
    }

    private static List<Member> createMembers() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < CANDIDATES; i++) {
            String zone = i % 2 == 0 ? "zone-a" : "zone-b";
            members.add(new Member("orders" + i, 1, 1, MemberState.UP, zone, "orders", "127.0.0.1", 1_000 + i, i));
        }
        return members;
    }

    private static ByteBuffer encodeFrame(Frame frame) {
        try {
            return FrameCodec.encode(frame);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Thread createTimerThread(Runnable task) {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    }
}
