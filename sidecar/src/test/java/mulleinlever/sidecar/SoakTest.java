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
 * Checks the invariants in seeded runs with faults at all peers. {@code -Dsoak.seeds=1-50
 * -Dsoak.parallel=4} runs more seeds; a single seed repeats its run.
 */
class SoakTest {
    private static final int FIRST_SEED = 1;
    private static final int LAST_SEED = 4;

    private static List<Long> seeds() {
        String[] bounds = System.getProperty("soak.seeds", FIRST_SEED + "-" + LAST_SEED).split("-");
        return LongStream.rangeClosed(
                        Long.parseLong(bounds[0]), Long.parseLong(bounds[bounds.length - 1]))
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
                        List<String> violations = soak.run();
                        System.out.println(
                                "soak seed "
                                        + seed
                                        + ": "
                                        + (violations.isEmpty()
                                                ? "passed"
                                                : violations.size() + " violations"));
                        if (!violations.isEmpty()) {
                            System.out.println(soak.eventLog());
                            violations.stream().limit(10).forEach(System.out::println);
                        }
                        return violations;
                    };
            runs.add(pool.submit(run));
        }
        List<String> allViolations = new ArrayList<>();
        for (Future<List<String>> run : runs) {
            allViolations.addAll(run.get());
        }
        pool.shutdown();
        assertTrue(
                allViolations.isEmpty(),
                allViolations.size()
                        + " violations, such as "
                        + allViolations.stream().findFirst().orElse(""));
    }
}
