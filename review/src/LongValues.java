import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Traffic with values of 64 KiB jumps for some seconds. Checks that each short request that was
 * written whole to an open connection gets its final answer.
 */
public final class LongValues {
    static final double USUAL_RATE = 240;
    static final double JUMP = 2.2;
    static final double JUMP_AFTER_S = 8;
    static final double JUMP_FOR_S = 9;
    static final double SECONDS = 24;
    static final int SOCKETS = 1024;
    static final int VALUE_BYTES = 64 * 1024;

    /** The mean work of each route, in milliseconds. */
    static final double[] WORK_MS = {340, 230, 140};

    public static void main(String[] args) {
        Kit.play(() -> play(args));
    }

    private static void play(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("long-values");
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger closed = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger lostWrites = new AtomicInteger();
        AtomicInteger noConnection = new AtomicInteger();
        Random work = new Random(1);
        String hex = "ab".repeat(VALUE_BYTES);
        boolean ended;
        try (Kit.Record record = new Kit.Record(args[0])) {
            Kit.Behaviour behaviour =
                    (pod, connection, sql) -> {
                        String id = Kit.field(sql, "id");
                        String route = Kit.field(sql, "c");
                        double workMs = WORK_MS[Arrays.asList(Enrol.ROUTES).indexOf(route)];
                        synchronized (work) {
                            workMs *= 0.5 + work.nextDouble();
                        }
                        record.line("%s runs %s for %.0f ms", pod.id, id, workMs);
                        byte[] value = new byte[VALUE_BYTES];
                        Arrays.fill(value, (byte) 'x');
                        byte[] head = ("made-for-" + id + " ").getBytes(StandardCharsets.US_ASCII);
                        System.arraycopy(head, 0, value, 0, head.length);
                        pod.sendLater(connection, workMs, Kit.row(value));
                    };
            List<Kit.Pod> pods = new ArrayList<>();
            for (int i = 0; i < 17; i++) {
                pods.add(new Kit.Pod("p" + i, Enrol.ZONES[i % 3], "127.0.0." + (10 + i), 0, behaviour));
            }
            String list = Kit.list(pods);
            Kit.Discovery discovery = new Kit.Discovery("127.0.0.2", list);
            Kit.Platform platform = new Kit.Platform("127.0.0.3");
            try (Kit.Sidecar sidecar =
                    new Kit.Sidecar(folder, "127.0.0.4", SOCKETS, discovery, platform, list, Enrol.SETTINGS)) {
                sidecar.awaitReady();
                ConcurrentLinkedDeque<Kit.Client> idle = new ConcurrentLinkedDeque<>();
                AtomicInteger open = new AtomicInteger();
                double startMs = Kit.nowMs();
                double nextMs = startMs;
                Random arrivals = new Random(2);
                for (long n = 1; nextMs < startMs + SECONDS * 1000; n++) {
                    Kit.sleepMs(nextMs - Kit.nowMs());
                    double atS = (nextMs - startMs) / 1000;
                    boolean jump = trouble && atS >= JUMP_AFTER_S && atS < JUMP_AFTER_S + JUMP_FOR_S;
                    nextMs += -Math.log(1 - arrivals.nextDouble()) * 1000 / (USUAL_RATE * (jump ? JUMP : 1));
                    double u = arrivals.nextDouble();
                    int route = u < 0.58 ? 0 : u < 0.8 ? 1 : 2;
                    int d = (int) ((0.4 + 0.6 * arrivals.nextDouble()) * Enrol.TIMEOUT_MS[route]);
                    String id = Kit.id(n);
                    String sql = Enrol.sql(route, id, Kit.id(10_000 + arrivals.nextInt(5000)), d, hex);
                    Kit.Client held = idle.pollFirst();
                    // Clients hold a third of the descriptors at most.
                    if (held == null && open.get() >= SOCKETS / 3) {
                        noConnection.incrementAndGet();
                        continue;
                    }
                    if (held == null) {
                        open.incrementAndGet();
                    }
                    Kit.daemon(
                            () -> {
                                Kit.Client client = held;
                                try {
                                    client = client == null ? new Kit.Client(sidecar) : client;
                                    client.send(Kit.query(sql));
                                    double writtenMs = Kit.nowMs();
                                    sent.incrementAndGet();
                                    record.line("client sends %s, %s, d=%d", id, Enrol.ROUTES[route], d);
                                    // The time of the request, and the half second in which it only earns nothing.
                                    Kit.Answer answer = client.read(d + 550);
                                    record.line("client gets %s: %s", id, answer.kind.equals("served") ? answer.text.substring(0, 26) : answer);
                                    switch (answer.kind) {
                                        case "served" -> served.incrementAndGet();
                                        case "refused" -> refused.incrementAndGet();
                                        case "failed" -> failed.incrementAndGet();
                                        case "closed" -> closed.incrementAndGet();
                                        default -> {
                                            (route == 0 ? lost : lostWrites).incrementAndGet();
                                            record.line("%s: %s, %s has no answer %.0f ms after its last byte, d=%d",
                                                    route == 0 ? "LOST" : "long request", id, Enrol.ROUTES[route],
                                                    Kit.nowMs() - writtenMs, d);
                                        }
                                    }
                                    if (answer.kind.equals("closed") || answer.kind.equals("none")) {
                                        client.close();
                                        open.decrementAndGet();
                                    } else {
                                        idle.addFirst(client);
                                    }
                                } catch (java.io.IOException e) {
                                    record.line("client of %s: %s", id, e);
                                    closed.incrementAndGet();
                                    open.decrementAndGet();
                                    if (client != null) {
                                        client.close();
                                    }
                                }
                            });
                }
                Thread.sleep(6000);
                ended = !sidecar.process.isAlive();
            }
            Kit.takeLog(folder, record);
            record.summary(
                    "%d requests: %d served, %d refused, %d failed, %d closed, %d long ones without an answer, "
                            + "%d short ones without an answer (lost); %d not sent for want of a connection%s",
                    sent.get(), served.get(), refused.get(), failed.get(), closed.get(), lostWrites.get(), lost.get(),
                    noConnection.get(), ended ? "; the sidecar has ended" : "");
        }
        if (sent.get() < 1000 || served.get() < 500) {
            System.exit(2);
        }
        System.exit(lost.get() > 0 || ended ? 1 : 0);
    }
}
