package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Tests the reqs that the warm-up sends through all components before the sidecar serves clients.
 */
class WarmUpTest {
    private static final String POD_JSON =
            "{\"instanceId\":\"p0\",\"hostPort\":\"127.0.0.9:6543\",\"zone\":\"a\","
                    + "\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"ready\",\"weight\":1.0,\"startedAtMs\":0,\"build\":1}";

    private static BlockingQueue<WarmUp> startWarmUp(String podsJson) {
        String knownListJson = "{\"generation\":7,\"reset\":true,\"instances\":[" + podsJson + "]}";
        // Nothing listens at these addresses: a connection that leaves the process fails.
        String config =
                SidecarTestBase.configJson(
                        "127.0.0.9:1", "127.0.0.9:2", "127.0.0.9:3", knownListJson, 256);
        var finishedWarmUps = new LinkedBlockingQueue<WarmUp>();
        WarmUp.run(SidecarConfig.parse(config, Map.of()), finishedWarmUps::add);
        return finishedWarmUps;
    }

    @Test
    void allReqsCompleteInProcess() throws Exception {
        var finishedWarmUps = startWarmUp(POD_JSON);
        assertEquals(
                WarmUp.REQ_COUNT, finishedWarmUps.poll(20, TimeUnit.SECONDS).completedReqCount());
        assertNull(finishedWarmUps.poll(2, TimeUnit.SECONDS), "the warm-up finished twice");
    }

    @Test
    void endsWithinTimeLimitWithoutPods() throws Exception {
        assertEquals(0, startWarmUp("").poll(5, TimeUnit.SECONDS).completedReqCount());
    }
}
