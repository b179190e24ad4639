package mulleinlever.sidecar;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests of ordinary clients at a fixed rate, each on a new connection, which run beside a
 * disturbance. A request counts from the time at which it was due, connecting included.
 */
final class ClientTraffic {
    /** How long after its time a request may be answered before it counts as lost. */
    private static final long ANSWER_SLACK_MS = 500;

    private final SidecarTestBase test;
    private final int timeoutMs;
    private final AtomicInteger sentCount = new AtomicInteger();
    private final AtomicInteger servedCount = new AtomicInteger();
    private final List<Long> latenciesMs = Collections.synchronizedList(new ArrayList<>());

    /** The requests without an answer, or with one that came too late. */
    final ConcurrentLinkedQueue<String> lost = new ConcurrentLinkedQueue<>();

    ClientTraffic(SidecarTestBase test, int timeoutMs) {
        this.test = test;
        this.timeoutMs = timeoutMs;
    }

    /** Sends requests for the given time, and waits until each has ended. */
    void run(int perSecond, int durationMs) throws InterruptedException {
        int count = perSecond * durationMs / 1000;
        CountDownLatch finished = new CountDownLatch(count);
        long startNs = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long dueNs = startNs + i * 1_000_000_000L / perSecond;
            TimeUnit.NANOSECONDS.sleep(dueNs - System.nanoTime());
            SidecarTestBase.startDaemonThread(
                    () -> {
                        try {
                            execute(dueNs);
                        } finally {
                            finished.countDown();
                        }
                    });
        }
        finished.await(timeoutMs + 12_000L, TimeUnit.MILLISECONDS);
    }

    private void execute(long dueNs) {
        sentCount.incrementAndGet();
        long startedMs = (System.nanoTime() - dueNs) / 1_000_000;
        try (SidecarTestBase.Client client = test.new Client(false)) {
            long connectedMs = (System.nanoTime() - dueNs) / 1_000_000;
            client.startUp();
            long readyMs = (System.nanoTime() - dueNs) / 1_000_000;
            String answer = client.execute(test.newSelectSql("1", timeoutMs));
            long tookMs = (System.nanoTime() - dueNs) / 1_000_000;
            latenciesMs.add(tookMs);
            if (answer.startsWith("T")) {
                servedCount.incrementAndGet();
            }
            if (tookMs > timeoutMs + ANSWER_SLACK_MS) {
                lost.add(
                        String.format(
                                "%s after %d ms, started %d, connected %d, ready %d ms",
                                answer, tookMs, startedMs, connectedMs, readyMs));
            }
        } catch (IOException e) {
            lost.add("no answer after " + (System.nanoTime() - dueNs) / 1_000_000 + " ms: " + e);
        }
    }

    int servedCount() {
        return servedCount.get();
    }

    /** Returns the latency that the given share of the answered requests did not exceed, in ms. */
    long latencyMs(double share) {
        List<Long> sorted = new ArrayList<>(latenciesMs);
        Collections.sort(sorted);
        return sorted.isEmpty() ? -1 : sorted.get((int) (share * (sorted.size() - 1)));
    }

    @Override
    public String toString() {
        return String.format(
                "%d sent, %d served, %d lost, p50 %d ms, p99 %d ms, max %d ms; %s",
                sentCount.get(),
                servedCount(),
                lost.size(),
                latencyMs(0.5),
                latencyMs(0.99),
                latencyMs(1),
                lost.stream().limit(3).toList());
    }
}
