package mulleinlever.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests the sidecar as a process of its own, over sockets, with fake pods, discovery and platform.
 */
@Timeout(60)
class SidecarProcessTest extends SidecarTestBase {
    SidecarProcessTest() throws IOException {}

    @Test
    void forwardsReqAndReturnsRow() throws Exception {
        FakeServer pod = startPod((query, out) -> sendRow(out, "v"));
        startSidecar();
        // The reqs of the warm-up are not sent to pods.
        assertTrue(pod.received.isEmpty());
        try (Client client = new Client()) {
            assertEquals("TDvC", client.execute(selectSql("7f3a", 480)));
            assertEquals("TDvC", client.execute(insertSql("\\x9f", 480)));
        }
        String forwarded = pod.received.get(0);
        assertEquals(
                "SELECT payload FROM entries WHERE ref = '7f3a' /* id=0000000000000001,c=get,t=acme,d=N */",
                forwarded.replaceAll("d=4[0-7]\\d ", "d=N "));
        assertTrue(
                pod.received
                        .get(1)
                        .matches(
                                ".*'\\\\x9f'.* /\\* id=0{15}2,c=put,t=acme,d=4[0-7]\\d,k=5c0f \\*/"));
    }

    @Test
    void handlesSplitBytesAndPipelinedCommands() throws Exception {
        startPod(
                (query, out) -> {
                    Thread.sleep(query.contains("'a'") ? 150 : 0);
                    byte[] row =
                            rowResponse(
                                    query.replaceAll(".*ref = '(.*?)'.*", "$1")
                                            .getBytes(StandardCharsets.UTF_8));
                    for (int i = 0; i < row.length; i += 7) {
                        out.write(row, i, Math.min(7, row.length - i));
                    }
                    return true;
                });
        startSidecar();
        try (Client client = new Client(false)) {
            var input = new ByteArrayOutputStream();
            // SSLRequest, which is answered with N before the startup message.
            input.write(new byte[] {0, 0, 0, 8, 4, -46, 22, 47});
            input.write(startupMessage());
            input.write(queryMessage(selectSql("a", 1000)));
            input.write(queryMessage(" ; "));
            input.write(queryMessage(selectSql("b", 1000)));
            for (byte b : input.toByteArray()) {
                client.socket.getOutputStream().write(b);
            }
            assertEquals('N', client.in.read());
            client.readResponse();
            assertEquals("TDaC", client.readResponse());
            assertEquals("I", client.readResponse());
            assertEquals("TDbC", client.readResponse());
        }
    }

    @Test
    void forwards64KiBValuesInBothDirections() throws Exception {
        String largeValue = "x".repeat(64 * 1024);
        FakeServer pod = startPod((query, out) -> sendRow(out, largeValue));
        startSidecar();
        try (Client client = new Client()) {
            String largeHexValue = "\\x" + "9f".repeat(64 * 1024);
            assertEquals("TD" + largeValue + "C", client.execute(insertSql(largeHexValue, 1000)));
            assertTrue(pod.received.get(0).contains(largeHexValue));
        }
    }

    @Test
    void neverForwardsTruncatedRow() throws Exception {
        PodBehavior truncatingPod =
                (query, out) -> {
                    byte[] row = rowResponse("broken".getBytes(StandardCharsets.UTF_8));
                    out.write(row, 0, row.length - 25);
                    return false;
                };
        startPod(truncatingPod);
        startPod((query, out) -> sendRow(out, "complete"));
        startSidecar();
        try (Client client = new Client()) {
            for (int i = 0; i < 10; i++) {
                assertEquals("TDcompleteC", client.execute(selectSql("1", 1000)));
            }
        }
        assertFalse(pods.get(0).received.isEmpty());
        awaitTrue(
                () ->
                        sumLoggedCounts("completed") == 10
                                && sumLoggedCounts("try_ok") == 10
                                && sumLoggedCounts("try_reset") > 0);
    }

    // A pod that repeated the RowDescription had all of them collected, whatever their number.
    @Test
    void repeatedRowDescriptionFailsTry() throws Exception {
        byte[] rowDescription = encodeMessage('T', ROW_DESCRIPTION_BODY);
        startPod(
                (query, out) -> {
                    out.write(rowDescription);
                    return sendRow(out, "repeated");
                });
        startPod((query, out) -> sendRow(out, "complete"));
        startSidecar();
        try (Client client = new Client()) {
            for (int i = 0; i < 10; i++) {
                assertEquals("TDcompleteC", client.execute(selectSql("1", 1000)));
            }
        }
        assertFalse(pods.get(0).received.isEmpty());
    }

    @Test
    void shedsOnlyWhenRetryIsSafe() throws Exception {
        boolean[] closesConnection = {false};
        startPod(
                (query, out) -> {
                    if (query.contains("'rowless'")) {
                        out.write(
                                encodeMessage(
                                        'C', "INSERT 0 1\0".getBytes(StandardCharsets.US_ASCII)));
                        out.write(encodeMessage('Z', new byte[] {'I'}));
                        return true;
                    }
                    return !closesConnection[0] && sendError(out, "53300");
                });
        startSidecar();
        try (Client client = new Client()) {
            assertEquals("E53300 with retry delay", client.execute(insertSql("1", 800)));
            // The insert ran, but the pod returned no row that could be forwarded.
            assertEquals("EXX000", client.execute(insertSql("rowless", 800)));
            closesConnection[0] = true;
            // The insert may have run, and a retry might reach a pod outside its dedup scope, which
            // would run it again.
            assertEquals("EXX000", client.execute(insertSql("1", 800)));
        }
        awaitTrue(
                () ->
                        sumLoggedCounts("in") == 3
                                && sumLoggedCounts("shed") == 1
                                && sumLoggedCounts("errored") == 2
                                && sumLoggedCounts("try_error") > 0);
        // The process may be suspended for up to 150 ms between the receipt of the req and its try.
        assertTrue(
                logText()
                        .matches(
                                "(?s).*req: [0-9a-f]{16} errored after [0-9]+ of 800 ms; p0 at ([0-9]{1,2}|1[0-4][0-9]) error.*"),
                logText());
    }

    /** Returns the sum of a count over all lines logged so far. */
    private int sumLoggedCounts(String name) {
        return Pattern.compile(" " + name + "=(\\d+)")
                .matcher(logText())
                .results()
                .mapToInt(m -> Integer.parseInt(m.group(1)))
                .sum();
    }

    @Test
    void respondsByDeadlineWhenPodHangs() throws Exception {
        FakeServer hangingPod =
                startPod(
                        (query, out) -> {
                            Thread.sleep(30_000);
                            return false;
                        });
        startSidecar();
        try (Client client = new Client()) {
            long startNs = System.nanoTime();
            assertTrue(client.execute(selectSql("1", 700)).startsWith("E"));
            long tookMs = (System.nanoTime() - startNs) / 1_000_000;
            assertTrue(tookMs < 750, "response time in ms: " + tookMs);
        }
        assertFalse(hangingPod.received.isEmpty());
    }

    @Test
    void cancelsTryWhenClientDisconnects() throws Exception {
        FakeServer pod =
                startPod(
                        (query, out) -> {
                            // Writing fails once the sidecar has closed the connection.
                            for (int i = 0; i < 300; i++) {
                                Thread.sleep(20);
                                out.write(encodeMessage('N', new byte[1]));
                            }
                            return false;
                        });
        startSidecar();
        try (Client client = new Client()) {
            client.sendQuery(selectSql("1", 1400));
            awaitTrue(() -> pod.received.size() == 1);
        }
        long disconnectedNs = System.nanoTime();
        awaitTrue(() -> pod.closedCount == 1);
        assertTrue(System.nanoTime() - disconnectedNs < 1_000_000_000L);
    }

    @Test
    void malformedInputClosesOnlyItsConnection() throws Exception {
        startPod((query, out) -> sendRow(out, "v"));
        startSidecar();
        try (Client wellFormed = new Client();
                Client invalidLength = new Client();
                Client httpClient = new Client(false);
                Client unknownCommand = new Client()) {
            invalidLength.socket.getOutputStream().write(new byte[] {'Q', 127, 0, 0, 0, 1});
            assertEquals("E08P01", invalidLength.readMessage());
            assertTrue(invalidLength.isClosedByPeer());
            httpClient.socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
            assertEquals("E08P01", httpClient.readMessage());
            unknownCommand.socket.getOutputStream().write(encodeMessage('P', new byte[3]));
            assertEquals("E08P01", unknownCommand.readMessage());
            for (String query :
                    List.of(
                            "SELECT 1",
                            "SELECT 1 /* id=1,c=none,d=5 */",
                            "SELECT 1 /* id=1,c=get,d=x */",
                            "SELECT 1 /* c=get,d=5 */",
                            "/*",
                            "*/",
                            "SELECT 1 /* id=1,c=get,d=5 */ ; SELECT 2")) {
                assertEquals("E42601", wellFormed.execute(query), query);
            }
            assertEquals("TDvC", wellFormed.execute(selectSql("1", 800)));
        }
        assertEquals(1, pods.get(0).received.size());
    }

    @Test
    void partialMessagesDoNotAffectOtherClients() throws Exception {
        startPod((query, out) -> sendRow(out, "v"));
        startSidecar(1024);
        List<Client> partialClients = new ArrayList<>();
        byte[] partialMessage = Arrays.copyOf(queryMessage("x".repeat(180 * 1024)), 150 * 1024);
        try (Client client = new Client()) {
            // Together these exceed the memory available for buffers.
            for (int i = 0; i < 300; i++) {
                Client partialClient = new Client();
                partialClients.add(partialClient);
                partialClient.socket.getOutputStream().write(partialMessage);
                if (i % 50 == 49) {
                    assertEquals("TDvC", client.execute(selectSql("1", 800)));
                }
            }
            assertTrue(partialClients.get(0).readMessage().matches("E53300|E08P01"));
            assertTrue(partialClients.get(0).isClosedByPeer());
            assertEquals("TDvC", client.execute(selectSql("1", 800)));
        }
        assertFalse(logText().contains("fault"), logText());
        for (Client partialClient : partialClients) {
            partialClient.close();
        }
    }

    @Test
    void closesStalledButNotIdleClients() throws Exception {
        startPod((query, out) -> sendRow(out, "v"));
        startSidecar();
        try (Client withoutStartup = new Client(false);
                Client withPartialMessage = new Client();
                Client idle = new Client()) {
            withPartialMessage
                    .socket
                    .getOutputStream()
                    .write(queryMessage(selectSql("1", 800)), 0, 30);
            assertEquals(-1, withoutStartup.in.read());
            assertEquals("E08P01", withPartialMessage.readMessage());
            assertEquals(-1, withPartialMessage.in.read());
            assertEquals("TDvC", idle.execute(selectSql("1", 800)));
        }
    }

    /** Returns the response with a row whose value is the ref in the query. */
    private static byte[] rowWithRequestedRef(String query) throws IOException {
        return rowResponse(
                query.replaceAll(".*ref = '(.*?)'.*", "$1").getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void duplicateResponseIsNotUsedForNextReq() throws Exception {
        FakeServer pod =
                startPod(
                        (query, out) -> {
                            var duplicated = new ByteArrayOutputStream();
                            duplicated.write(rowWithRequestedRef(query));
                            duplicated.write(rowWithRequestedRef(query));
                            out.write(duplicated.toByteArray());
                            return true;
                        });
        startSidecar();
        try (Client client = new Client()) {
            for (int i = 0; i < 30; i++) {
                assertEquals("TDoddC", client.execute(selectSql("odd", 800)));
                assertEquals("TDevenC", client.execute(selectSql("even", 800)));
            }
            // Each req was sent once, whichever connections were closed.
            assertEquals(60, pod.received.size());
        }
    }

    @Test
    void connectionCoolsDownAfterResponse() throws Exception {
        List<Long> cooldownsNs = new CopyOnWriteArrayList<>();
        ThreadLocal<Long> respondedNs = new ThreadLocal<>();
        startPod(
                (query, out) -> {
                    // The fake pod serves each connection on a thread of its own.
                    if (respondedNs.get() != null) {
                        cooldownsNs.add(System.nanoTime() - respondedNs.get());
                    }
                    respondedNs.set(System.nanoTime());
                    return sendRow(out, "v");
                });
        startSidecar();
        try (Client client = new Client()) {
            for (int i = 0; i < 30; i++) {
                assertEquals("TDvC", client.execute(selectSql("1", 800)));
            }
        }
        assertTrue(cooldownsNs.size() > 20);
        assertTrue(Collections.min(cooldownsNs) >= 3_000_000, cooldownsNs.toString());
    }

    @Test
    void unexpectedBytesCloseOnlyIdleConnection() throws Exception {
        FakeServer pod =
                startPod(
                        (query, out) -> {
                            sendRow(out, "v");
                            Thread.sleep(10);
                            out.write(new byte[] {7, 0, 0});
                            return true;
                        });
        startSidecar();
        try (Client client = new Client()) {
            for (int i = 0; i < 5; i++) {
                assertEquals("TDvC", client.execute(selectSql("v", 800)));
                Thread.sleep(50);
            }
            assertEquals(5, pod.received.size());
        }
    }

    @Test
    void closesIdlePodConnectionsBeforePodsLimit() throws Exception {
        FakeServer pod = startPod((query, out) -> sendRow(out, "v"));
        startSidecar();
        try (Client client = new Client()) {
            assertEquals("TDvC", client.execute(selectSql("1", 800)));
            assertEquals("TDvC", client.execute(selectSql("1", 800)));
            assertEquals(1, pod.openSockets.size());
            awaitTrue(() -> pod.closedCount == 1);
            assertEquals("TDvC", client.execute(selectSql("1", 800)));
        }
    }

    @Test
    void reopensLostWatches() throws Exception {
        startPod((query, out) -> sendRow(out, "v"));
        startSidecar();
        discoveryLines.add(podListJson(41, false));
        awaitTrue(() -> platform.received.contains("NOTIFY") && discovery.received.size() == 1);
        assertEquals("GET /discovery/hosts?stream=1&index=7 HTTP/1.1", discovery.received.get(0));
        Thread.sleep(300);
        for (FakeServer server : List.of(platform, discovery)) {
            for (Socket socket : server.openSockets) {
                socket.close();
            }
        }
        awaitTrue(
                () ->
                        platform.received.equals(List.of("NOTIFY", "NOTIFY"))
                                && discovery.received.size() == 2);
        assertEquals("GET /discovery/hosts?stream=1&index=41 HTTP/1.1", discovery.received.get(1));
    }

    @Test
    void reopensSilentWatchesWhileServing() throws Exception {
        startPod((query, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> platform.received.contains("NOTIFY") && discovery.received.size() == 1);
        watchesSilent = true;
        long silentSinceNs = System.nanoTime();
        awaitTrue(() -> platform.received.size() > 1);
        // Notifications sent meanwhile are lost, so that a bad build may be approved.
        assertTrue(System.nanoTime() - silentSinceNs < 3_000_000_000L);
        // Both watches are opened on new connections while the old ones are open and silent.
        awaitTrue(() -> platform.received.size() > 1 && discovery.received.size() > 1);
        assertEquals(platform.received.size(), Collections.frequency(platform.received, "NOTIFY"));
        try (Client client = new Client()) {
            assertEquals("TDvC", client.execute(selectSql("1", 800)));
        }
    }

    @Test
    void sendsNothingToDrainingPod() throws Exception {
        FakeServer drainingPod = startPod((query, out) -> sendRow(out, "v"));
        FakeServer readyPod = startPod((query, out) -> sendRow(out, "v"));
        startSidecar();
        try (Client client = new Client()) {
            for (int i = 0; i < 20; i++) {
                client.execute(selectSql("1", 800));
            }
            assertFalse(drainingPod.received.isEmpty());
            discoveryLines.add(podListJson(8, false, podJson(0, 1, "draining")));
            awaitTrue(() -> drainingPod.openSockets.isEmpty());
            int receivedCount = drainingPod.received.size();
            for (int i = 0; i < 20; i++) {
                assertEquals("TDvC", client.execute(selectSql("1", 800)));
            }
            assertEquals(receivedCount, drainingPod.received.size());
            assertFalse(readyPod.received.isEmpty());
        }
    }

    @Test
    void sendsVotesAndAppliesResponses() throws Exception {
        progressLine = "* progress 2 0 testing 0.2 100";
        voteResponse = "OK 2 1 testing 0.7 0";
        startPod((query, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> platform.received.contains("BALLOT 2 1 approve"));
        assertTrue(
                platform.received.indexOf("BALLOT 2 0 approve")
                        < platform.received.indexOf("BALLOT 2 1 approve"));
    }

    @Test
    void ignoresOutdatedRolloutStatus() throws Exception {
        // The response to a vote reports stage 1. A status written earlier is read after it and
        // must
        // not take effect.
        progressLine =
                "* progress 2 1 testing 0.7 0\r\n* progress 2 0 testing 0.2 900\r\n* progress 2 1 testing 0.7 9";
        startPod((query, out) -> sendRow(out, "v"));
        startSidecar();
        awaitTrue(() -> platform.received.contains("BALLOT 2 1 approve"));
        assertFalse(logText().contains("build 2 stage 0"));
    }

    @Test
    void gracefulShutdownFinishesReqs() throws Exception {
        startPod(
                (query, out) -> {
                    Thread.sleep(query.contains("'slow'") ? 1200 : 0);
                    return sendRow(out, "v");
                });
        startSidecar();
        try (Client idleClient = new Client();
                Client slowClient = new Client()) {
            slowClient.sendQuery(selectSql("slow", 1400));
            awaitTrue(() -> pods.get(0).received.size() == 1);
            process.destroy();
            Thread.sleep(150);
            try (Client newClient = new Client()) {
                assertEquals("TDvC", newClient.execute(selectSql("1", 800)));
            }
            assertTrue(idleClient.isClosedByPeer());
            assertEquals(0, slowClient.in.available());
            assertEquals("TDvC", slowClient.readResponse());
            assertTrue(slowClient.isClosedByPeer());
        }
        assertTrue(process.waitFor(2, TimeUnit.SECONDS));
    }

    @Test
    void reloadAppliesNewAddresses() throws Exception {
        startPod(
                (query, out) -> {
                    Thread.sleep(query.contains("'slow'") ? 1000 : 0);
                    return sendRow(out, "v");
                });
        startSidecar();
        awaitTrue(() -> platform.received.contains("NOTIFY") && discovery.received.size() == 1);
        FakeServer oldDiscovery = discovery;
        FakeServer oldPlatform = platform;
        discovery = new FakeServer(this::serveDiscovery);
        platform = new FakeServer(this::servePlatform);
        try (Client client = new Client()) {
            client.sendQuery(selectSql("slow", 1400));
            awaitTrue(() -> pods.get(0).received.size() == 1);
            Files.writeString(writeConfig(256), "{\"name\":\"n0\"");
            sendSighup();
            awaitTrue(() -> logText().contains("reload: nothing is changed: JSON: expected }"));
            Path configFile = writeConfig(256);
            Files.writeString(
                    configFile,
                    Files.readString(configFile).replace("\"listen\":\"127", "\"listen\":\"x127"));
            sendSighup();
            awaitTrue(
                    () ->
                            logText()
                                    .contains(
                                            "reload: nothing is changed: configuration: listen needs"));
            assertEquals(0, discovery.received.size() + platform.received.size());
            writeConfig(99);
            sendSighup();
            sendSighup();
            awaitTrue(() -> platform.received.contains("NOTIFY") && discovery.received.size() == 1);
            assertEquals(
                    "GET /discovery/hosts?stream=1&index=7 HTTP/1.1", discovery.received.get(0));
            awaitTrue(
                    () -> oldDiscovery.openSockets.isEmpty() && oldPlatform.openSockets.isEmpty());
            oldDiscovery.close();
            oldPlatform.close();
            assertEquals("TDvC", client.readResponse());
            assertTrue(logText().contains("; a restart is needed for limits.sockets"));
            // The list from the new discovery address is applied: the only pod is gone, so that no
            // req is sent any more.
            discoveryLines.add(podListJson(8, false, podJson(0, 1, "gone")));
            awaitTrue(() -> pods.get(0).openSockets.isEmpty());
            assertEquals("E53300 with retry delay", client.execute(selectSql("1", 800)));
        }
        assertEquals(1, Collections.frequency(platform.received, "NOTIFY"));
    }

    @Test
    void boundsDescriptorsAndServesNewClients() throws Exception {
        startPod((query, out) -> sendRow(out, "v"));
        startSidecar(64);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 80; i++) {
            Client client = new Client();
            clients.add(client);
            assertEquals("TDvC", client.execute(selectSql("1", 800)));
        }
        assertTrue(clients.get(0).isClosedByPeer());
        try (var descriptors = Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
            assertTrue(descriptors.count() < 64);
        }
        for (Client client : clients) {
            client.close();
        }
    }

    @Test
    void unresponsivePodDoesNotDelayTry() throws Exception {
        for (int i = 0; i < 50; i++) {
            startPod((query, out) -> sendRow(out, "v"));
        }
        startSidecar();
        try (Client client = new Client()) {
            for (int i = 0; i < 200; i++) {
                assertEquals("TDvC", client.execute(selectSql("k" + i, 1400)));
            }
            // The pod accepts connections and sends nothing, as a suspended process does. It is
            // listed in both zones, since an idle sidecar sends nothing to one of them.
            FakeServer unresponsivePod = new FakeServer((in, out) -> Thread.sleep(30_000));
            pods.addAll(List.of(unresponsivePod, unresponsivePod));
            discoveryLines.add(
                    podListJson(8, false, podJson(51, 1, "ready"), podJson(50, 1, "ready")));
            long slowestNs = 0;
            for (int i = 0; i < 2000 && unresponsivePod.openSockets.isEmpty(); i++) {
                long startNs = System.nanoTime();
                assertEquals("TDvC", client.execute(selectSql("m" + i, 1400)));
                slowestNs = Math.max(slowestNs, System.nanoTime() - startNs);
                Thread.sleep(1);
            }
            assertFalse(
                    unresponsivePod.openSockets.isEmpty(),
                    "no connection to the unresponsive pod was opened");
            // The settings allow 250 ms.
            assertTrue(
                    slowestNs < 200_000_000L,
                    "slowest response after " + slowestNs / 1_000_000 + " ms");
        }
    }
}
