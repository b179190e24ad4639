package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Seeded runs with faults everywhere; {@code -Dsoak.seeds=1-50 -Dsoak.parallel=4} for a long one,
 * any seed alone to play it again.
 */
class SoakTest {
    private static final int FIRST = 1;
    private static final int LAST = 4;

    private static List<Long> seeds() {
        String[] ends = System.getProperty("soak.seeds", FIRST + "-" + LAST).split("-");
        return LongStream.rangeClosed(
                        Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]))
                .boxed()
                .toList();
    }

    @Test
    void invariantsHoldUnderInjectedFaults() throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(Integer.getInteger("soak.parallel", 2));
        List<Future<List<String>>> runs = new ArrayList<>();
        for (long seed : seeds()) {
            Callable<List<String>> run =
                    () -> {
                        SoakRun soak = new SoakRun(seed);
                        List<String> broken = soak.run();
                        System.out.println(
                                "soak seed "
                                        + seed
                                        + ": "
                                        + (broken.isEmpty() ? "held" : broken.size() + " broken"));
                        if (!broken.isEmpty()) {
                            System.out.println(soak.eventLog());
                            broken.stream().limit(10).forEach(System.out::println);
                        }
                        return broken;
                    };
            runs.add(pool.submit(run));
        }
        List<String> all = new ArrayList<>();
        for (Future<List<String>> run : runs) {
            all.addAll(run.get());
        }
        pool.shutdown();
        assertTrue(
                all.isEmpty(),
                all.size() + " broken, such as " + all.stream().findFirst().orElse(""));
    }
}
