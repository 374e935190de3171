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
 * Sends requests at a fixed rate, independently of the answers to earlier ones.
 *
 * <p>Latency is measured from the scheduled time of a request, not from the time at which it was sent, so that a stall
 * counts for every request scheduled during it (avoids coordinated omission).
 */
final class OpenLoopCaller implements AutoCloseable {

    private static final long MAX_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int MAX_CONNECTIONS = 512;
    private static final int MAX_QUEUED_REQUESTS = 100_000;
    private static final long COMPLETION_TIMEOUT_S = 30;

    private final HttpClient client = new HttpClient();
    private final AtomicLong failures = new AtomicLong();

    OpenLoopCaller() throws Exception {
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_REQUESTS);
        client.start();
    }

    Histogram run(URI target, int ratePerSecond, long durationMs) throws InterruptedException {
        Histogram histogram = new ConcurrentHistogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
        int count = (int) (ratePerSecond * durationMs / TimeUnit.SECONDS.toMillis(1));
        long intervalNanos = TimeUnit.SECONDS.toNanos(1) / ratePerSecond;
        CountDownLatch completion = new CountDownLatch(count);
        long startNanos = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long scheduledNanos = startNanos + i * intervalNanos;
            for (long remainingNanos = scheduledNanos - System.nanoTime();
                    remainingNanos > 0;
                    remainingNanos = scheduledNanos - System.nanoTime()) {
                LockSupport.parkNanos(remainingNanos);
            }
            send(target, scheduledNanos, histogram, completion);
        }
        completion.await(COMPLETION_TIMEOUT_S, TimeUnit.SECONDS);
        return histogram;
    }

    long getFailures() {
        return failures.get();
    }

    @Override
    public void close() throws Exception {
        client.stop();
    }

    private void send(URI target, long scheduledNanos, Histogram histogram, CountDownLatch completion) {
        client.newRequest(target)
                .headers(headers -> headers.put("Authorization", "Bearer " + BenchFleet.KEY))
                .send(new BufferingResponseListener() {
                    @Override
                    public void onComplete(Result result) {
                        histogram.recordValue(Math.min(MAX_LATENCY_NANOS, System.nanoTime() - scheduledNanos));
                        if (result.isFailed() || result.getResponse().getStatus() != 200) {
                            failures.incrementAndGet();
                        }
                        completion.countDown();
                    }
                });
    }
}
