package trailthread.lab.emulation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.lab.scenario.ScenarioReader;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;

/** The emulated servers and discovery behave on sockets as their scenario says. */
public class EmulatedServerTest {
    private static final String SCENARIO =
            """
            name = "test"
            length = "60s"
            [clients]
            per_second = 1
            [[classes]]
            name = "c"
            work = "1ms"
            aim = "1s"
            deadline = "2s"
            [fleet]
            workers = 1
            slots = 1
            room = 1
            [list]
            delay = "10ms"
            """;
    private final List<Socket> open = new ArrayList<>();
    private Emulation emulation;
    private Thread loop;
    private volatile boolean ending;

    /**
     * Starts the emulation on a thread and waits until its first events have run, so that faults
     * scheduled at 0 s are active.
     */
    private void start(String faults) throws Exception {
        emulation = new Emulation(ScenarioReader.parse("test", SCENARIO + faults), 1, 1);
        CountDownLatch started = new CountDownLatch(1);
        loop =
                new Thread(
                        () -> {
                            try {
                                emulation.eventQueue().scheduleAfter(1_000_000, started::countDown);
                                emulation.eventQueue().scheduleAfter(0, this::stopWhenTestEnds);
                                emulation.run(true, current -> {});
                            } catch (IOException | IllegalStateException e) {
                                if (!ending) {
                                    throw new AssertionError(e);
                                }
                            }
                        });
        loop.start();
        assertTrue(started.await(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    private void stopWhenTestEnds() {
        if (ending) {
            throw new IllegalStateException("the test has ended");
        }
        emulation.eventQueue().scheduleAfter(5_000_000, this::stopWhenTestEnds);
    }

    @After
    public void end() throws Exception {
        ending = true;
        loop.join();
        emulation.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    private Socket connect(String hostPort) throws IOException {
        Socket socket =
                new Socket(
                        InetAddress.getLoopbackAddress(),
                        Integer.parseInt(hostPort.substring(hostPort.indexOf(':') + 1)));
        socket.setSoTimeout(1000 * ScriptedServer.TIMEOUT_S);
        open.add(socket);
        return socket;
    }

    private Socket get(String target, String headers) throws IOException {
        Socket socket = connect(emulation.serverAddresses(0).get(0));
        Message.send(socket, "GET " + target + " HTTP/1.1\r\nHost: w\r\n" + headers + "\r\n");
        return socket;
    }

    private Socket request(String id, int work) throws IOException {
        return get("/c?work=" + work, "X-Correlation-Id: " + id + "\r\n");
    }

    private static String fault(String kind, String keys) {
        return "[[faults]]\ntrouble = \"" + kind + "\"\nat = \"0s\"\nfor = \"50s\"\n" + keys + "\n";
    }

    @Test
    public void serves() throws Exception {
        start("");
        Message response = Message.read(request("7a", 2_000_000));
        assertEquals(200, response.status());
        assertEquals("7a w0 2000000\n", response.body());
        assertEquals("{\"inflight\":0.00,\"queue\":0.00}", response.header("X-Backend-Load"));
        assertEquals(200, Message.read(get("/status/load", "")).status());
        assertEquals("without a request id", 404, Message.read(get("/c?work=1", "")).status());
    }

    @Test
    public void rejectsRequestsWhenTheQueueIsFull() throws Exception {
        start("");
        Socket executing = request("1", 300_000_000);
        Message.read(get("/status/load", "")); // ensures that the first request arrives first
        Socket queued = request("2", 1_000_000);
        Message.read(get("/status/load", ""));
        Message rejection = Message.read(request("3", 1_000_000));
        assertEquals(503, rejection.status());
        assertEquals("1", rejection.header("X-Unprocessed"));
        assertEquals(200, Message.read(executing).status());
        assertEquals(200, Message.read(queued).status());
    }

    @Test
    public void failsRequestsImmediately() throws Exception {
        start(fault("fast_errors", "size = 1"));
        assertEquals(500, Message.read(request("1", 1)).status());
    }

    @Test
    public void losesResponses() throws Exception {
        start(fault("lost_answers", "size = 1"));
        Socket silent = request("1", 1);
        silent.setSoTimeout(400);
        assertThrows(SocketTimeoutException.class, () -> Message.read(silent));
        assertEquals(
                "load requests still get a response",
                200,
                Message.read(get("/status/load", "")).status());
    }

    @Test
    public void resetsConnections() throws Exception {
        start(fault("resets", "size = 1"));
        Socket reset = request("1", 1);
        assertThrows(SocketException.class, () -> Message.read(reset));
    }

    @Test
    public void sendsMalformedResponses() throws Exception {
        start(fault("garbage", "size = 1"));
        byte[] first = request("1", 1).getInputStream().readNBytes(8);
        assertEquals("HTTP/9 \u0001", new String(first, StandardCharsets.ISO_8859_1));
    }

    @Test
    public void sendsStrayResponses() throws Exception {
        start(fault("stray_responses", "size = 0.001\nextra = 1.0"));
        Socket kept = request("1", 1);
        assertEquals("1 w0 1\n", Message.read(kept).body());
        assertTrue("a stray follows", Message.read(kept).status() >= 200);
        Socket ending = get("/c?work=1", "X-Correlation-Id: 2\r\nConnection: close\r\n");
        assertEquals("2 w0 1\n", Message.read(ending).body());
        assertNull("the request was the last one", Message.read(ending));
    }

    @Test
    public void greetsNewConnections() throws Exception {
        start(fault("greetings", "size = 1"));
        Socket greeted = connect(emulation.serverAddresses(0).get(0));
        assertEquals("nobody", Message.read(greeted).body());
    }

    @Test
    public void sendsResponsesSlowly() throws Exception {
        start(fault("drips", "size = 0.5"));
        Socket slow = request("1", 1);
        slow.setSoTimeout(30); // a response sent in one piece causes at most one timeout
        int timeouts = 0;
        byte[] buffer = new byte[1024];
        StringBuilder response = new StringBuilder();
        while (!response.toString().endsWith("w0 1\n")) {
            try {
                response.append(
                        new String(
                                buffer,
                                0,
                                slow.getInputStream().read(buffer),
                                StandardCharsets.ISO_8859_1));
            } catch (SocketTimeoutException e) {
                timeouts++;
            }
        }
        assertTrue("timeouts " + timeouts, timeouts >= 3);
        assertTrue(response.toString(), response.toString().startsWith("HTTP/1.1 200 OK\r\n"));
    }

    @Test
    public void isolatedServerDoesNotRespond() throws Exception {
        start(fault("cut", ""));
        Socket silent = request("1", 1);
        silent.setSoTimeout(400);
        assertThrows(SocketTimeoutException.class, () -> Message.read(silent));
    }

    @Test
    public void drainsAndRestartsAtTheSameAddress() throws Exception {
        start("[[faults]]\ntrouble = \"restart\"\nat = \"100ms\"\nfor = \"1s\"\n");
        Socket watch = connect(emulation.discoveryAddress(0));
        Message.send(watch, "GET /v1/endpoints?stream=1&index=0 HTTP/1.1\r\nHost: r\r\n\r\n");
        String server = emulation.serverAddresses(0).get(0);
        String update = "";
        while (!update.contains("leaving")) {
            update = line(watch);
        }
        assertEquals(200, Message.read(request("1", 1)).status());
        while (update.contains("leaving") || update.isBlank()) {
            update = line(watch);
        }
        assertTrue(update, update.contains("\"active\"") && !update.contains("\"startedAtMs\":0}"));
        assertEquals("the same address", server, emulation.serverAddresses(0).get(0));
        assertEquals(200, Message.read(request("2", 1)).status());
    }

    /**
     * The next line of a watch if it is an update, else an empty text for header and size lines.
     */
    private static String line(Socket watch) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = watch.getInputStream().read(); b != '\n'; b = watch.getInputStream().read()) {
            line.append((char) b);
        }
        String text = line.toString().strip();
        return text.startsWith("{") ? text : "";
    }

    @Test
    public void stoppedDiscoveryDoesNotRespondAndResetsWatches() throws Exception {
        start("[[faults]]\ntrouble = \"roster_down\"\nat = \"300ms\"\nfor = \"50s\"\n");
        Socket watch = connect(emulation.discoveryAddress(0));
        Message.send(watch, "GET /v1/endpoints?stream=1&index=0 HTTP/1.1\r\nHost: r\r\n\r\n");
        assertThrows(
                SocketException.class,
                () -> {
                    while (true) {
                        line(watch);
                    }
                });
        Socket polling = connect(emulation.discoveryAddress(0));
        Message.send(polling, "GET /v1/endpoints HTTP/1.1\r\nHost: r\r\n\r\n");
        Message response;
        try {
            response = Message.read(polling);
        } catch (SocketException e) {
            response = null;
        }
        assertNull(response);
    }
}
