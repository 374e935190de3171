package io.cranberryarch.bench;

import java.net.URI;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;

/**
 * Sends requests at a fixed rate, whether earlier ones are answered or not.
 *
 * <p>A latency counts from the moment at which the request was due, not from the moment at which it could be sent, so
 * that a stall is seen by every request that fell into it (coordinated omission).
 */
final class OpenLoopCaller implements AutoCloseable {

    private static final long MAX_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final int DIGITS = 3;
    private static final int MAX_CONNECTIONS = 512;
    private static final int MAX_QUEUED = 100_000;
    private static final long WAIT_S = 30;

    private final HttpClient client = new HttpClient();
    private final AtomicLong failures = new AtomicLong();

    OpenLoopCaller() throws Exception {
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_QUEUED);
        client.start();
    }

    Histogram run(URI target, int ratePerSecond, long durationMs) throws InterruptedException {
        Histogram histogram = new ConcurrentHistogram(MAX_LATENCY_NANOS, DIGITS);
        int count = (int) (ratePerSecond * durationMs / TimeUnit.SECONDS.toMillis(1));
        long intervalNanos = TimeUnit.SECONDS.toNanos(1) / ratePerSecond;
        CountDownLatch done = new CountDownLatch(count);
        long startNanos = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long dueNanos = startNanos + i * intervalNanos;
            for (long left = dueNanos - System.nanoTime(); left > 0; left = dueNanos - System.nanoTime()) {
                LockSupport.parkNanos(left);
            }
            send(target, dueNanos, histogram, done);
        }
        done.await(WAIT_S, TimeUnit.SECONDS);
        return histogram;
    }

    long getFailures() {
        return failures.get();
    }

    @Override
    public void close() throws Exception {
        client.stop();
    }

    private void send(URI target, long dueNanos, Histogram histogram, CountDownLatch done) {
        client.newRequest(target)
                .headers(headers -> headers.put("Authorization", "Bearer " + BenchFleet.KEY))
                .send(new BufferingResponseListener() {
                    @Override
                    public void onComplete(Result result) {
                        histogram.recordValue(Math.min(MAX_LATENCY_NANOS, System.nanoTime() - dueNanos));
                        if (result.isFailed() || result.getResponse().getStatus() != 200) {
                            failures.incrementAndGet();
                        }
                        done.countDown();
                    }
                });
    }
}
