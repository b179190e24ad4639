package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What passes all stages before the first client comes. */
class WarmUpTest {
    private static final String POD =
            "{\"instanceId\":\"p0\",\"hostPort\":\"127.0.0.9:6543\",\"zone\":\"a\","
                    + "\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"ready\",\"weight\":1.0,\"startedAtMs\":0,\"build\":1}";

    private static BlockingQueue<WarmUp> play(String pods) {
        String known = "{\"generation\":7,\"reset\":true,\"instances\":[" + pods + "]}";
        // Addresses at which nothing listens: whatever goes out of the process fails.
        String text =
                SidecarTestBase.configJson("127.0.0.9:1", "127.0.0.9:2", "127.0.0.9:3", known, 256);
        var played = new LinkedBlockingQueue<WarmUp>();
        WarmUp.run(SidecarConfig.parse(text, Map.of()), played::add);
        return played;
    }

    @Test
    void allReqsCompleteInProcess() throws Exception {
        var played = play(POD);
        assertEquals(WarmUp.REQ_COUNT, played.poll(20, TimeUnit.SECONDS).completedReqCount());
        assertNull(played.poll(2, TimeUnit.SECONDS), "called back twice");
    }

    @Test
    void endsWithinTimeLimitWithoutPods() throws Exception {
        assertEquals(0, play("").poll(5, TimeUnit.SECONDS).completedReqCount());
    }
}
