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

/** The stand-ins do on sockets what the scenario says. */
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
     * Plays on a thread of its own, as the emulator does; faults are under way from the first
     * moment on.
     */
    private void start(String faults) throws Exception {
        emulation = new Emulation(ScenarioReader.parse("test", SCENARIO + faults), 1, 1);
        CountDownLatch begun = new CountDownLatch(1);
        loop =
                new Thread(
                        () -> {
                            try {
                                emulation.eventQueue().scheduleAfter(1_000_000, begun::countDown);
                                emulation.eventQueue().scheduleAfter(0, this::watchEnd);
                                emulation.run(true, d -> {});
                            } catch (IOException | IllegalStateException e) {
                                if (!ending) {
                                    throw new AssertionError(e);
                                }
                            }
                        });
        loop.start();
        assertTrue(begun.await(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    private void watchEnd() {
        if (ending) {
            throw new IllegalStateException("the test is over");
        }
        emulation.eventQueue().scheduleAfter(5_000_000, this::watchEnd);
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
        Socket socket = connect(emulation.serversAt(0).get(0));
        Message.send(socket, "GET " + target + " HTTP/1.1\r\nHost: w\r\n" + headers + "\r\n");
        return socket;
    }

    private Socket request(String id, int work) throws IOException {
        return get("/c?work=" + work, "X-Correlation-Id: " + id + "\r\n");
    }

    private static String fault(String trouble, String keys) {
        return "[[faults]]\ntrouble = \""
                + trouble
                + "\"\nat = \"0s\"\nfor = \"50s\"\n"
                + keys
                + "\n";
    }

    @Test
    public void serves() throws Exception {
        start("");
        Message answer = Message.read(request("7a", 2_000_000));
        assertEquals(200, answer.status());
        assertEquals("7a w0 2000000\n", answer.body());
        assertEquals("{\"inflight\":0.00,\"queue\":0.00}", answer.header("X-Backend-Load"));
        assertEquals(200, Message.read(get("/status/load", "")).status());
        assertEquals("no id", 404, Message.read(get("/c?work=1", "")).status());
    }

    @Test
    public void turnsAwayWhatHasNoRoom() throws Exception {
        start("");
        Socket works = request("1", 300_000_000);
        Message.read(get("/status/load", "")); // so that the first one is there before the second
        Socket waits = request("2", 1_000_000);
        Message.read(get("/status/load", ""));
        Message turned = Message.read(request("3", 1_000_000));
        assertEquals(503, turned.status());
        assertEquals("1", turned.header("X-Unprocessed"));
        assertEquals(200, Message.read(works).status());
        assertEquals(200, Message.read(waits).status());
    }

    @Test
    public void failsAtOnce() throws Exception {
        start(fault("fast_errors", "size = 1"));
        assertEquals(500, Message.read(request("1", 1)).status());
    }

    @Test
    public void losesAnswers() throws Exception {
        start(fault("lost_answers", "size = 1"));
        Socket silent = request("1", 1);
        silent.setSoTimeout(400);
        assertThrows(SocketTimeoutException.class, () -> Message.read(silent));
        assertEquals(
                "others are told of their load",
                200,
                Message.read(get("/status/load", "")).status());
    }

    @Test
    public void resets() throws Exception {
        start(fault("resets", "size = 1"));
        Socket reset = request("1", 1);
        assertThrows(SocketException.class, () -> Message.read(reset));
    }

    @Test
    public void bringsWhatCantBeRead() throws Exception {
        start(fault("garbage", "size = 1"));
        byte[] first = request("1", 1).getInputStream().readNBytes(8);
        assertEquals("HTTP/9 \u0001", new String(first, StandardCharsets.ISO_8859_1));
    }

    @Test
    public void sendsResponsesSlowly() throws Exception {
        start(fault("drips", "size = 0.5"));
        Socket slow = request("1", 1);
        slow.setSoTimeout(30); // an answer that comes in one piece is there after the first wait
        int waits = 0;
        byte[] part = new byte[1024];
        StringBuilder all = new StringBuilder();
        while (!all.toString().endsWith("w0 1\n")) {
            try {
                all.append(
                        new String(
                                part,
                                0,
                                slow.getInputStream().read(part),
                                StandardCharsets.ISO_8859_1));
            } catch (SocketTimeoutException e) {
                waits++;
            }
        }
        assertTrue("waits " + waits, waits >= 3);
        assertTrue(all.toString(), all.toString().startsWith("HTTP/1.1 200 OK\r\n"));
    }

    @Test
    public void isCutOff() throws Exception {
        start(fault("cut", ""));
        Socket silent = request("1", 1);
        silent.setSoTimeout(400);
        assertThrows(SocketTimeoutException.class, () -> Message.read(silent));
    }

    @Test
    public void drainsEndsAndComesBackUnderItsAddress() throws Exception {
        start("[[faults]]\ntrouble = \"restart\"\nat = \"100ms\"\nfor = \"1s\"\n");
        Socket watch = connect(emulation.discoveryAt(0));
        Message.send(watch, "GET /v1/endpoints?stream=1&index=0 HTTP/1.1\r\nHost: r\r\n\r\n");
        String server = emulation.serversAt(0).get(0);
        String told = "";
        while (!told.contains("leaving")) {
            told = line(watch);
        }
        assertEquals(200, Message.read(request("1", 1)).status());
        while (told.contains("leaving") || told.isBlank()) {
            told = line(watch);
        }
        assertTrue(told, told.contains("\"active\"") && !told.contains("\"startedAtMs\":0}"));
        assertEquals("the same address", server, emulation.serversAt(0).get(0));
        assertEquals(200, Message.read(request("2", 1)).status());
    }

    /** One line of a watch: past the head, and without the chunk's size. */
    private static String line(Socket watch) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = watch.getInputStream().read(); b != '\n'; b = watch.getInputStream().read()) {
            line.append((char) b);
        }
        String text = line.toString().strip();
        return text.startsWith("{") ? text : "";
    }

    @Test
    public void discoveryFailsAndItsWatchesBreak() throws Exception {
        start("[[faults]]\ntrouble = \"roster_down\"\nat = \"300ms\"\nfor = \"50s\"\n");
        Socket watch = connect(emulation.discoveryAt(0));
        Message.send(watch, "GET /v1/endpoints?stream=1&index=0 HTTP/1.1\r\nHost: r\r\n\r\n");
        assertThrows(
                SocketException.class,
                () -> {
                    while (true) {
                        line(watch);
                    }
                });
        Socket again = connect(emulation.discoveryAt(0));
        Message.send(again, "GET /v1/endpoints HTTP/1.1\r\nHost: r\r\n\r\n");
        Message answer;
        try {
            answer = Message.read(again);
        } catch (SocketException e) {
            answer = null;
        }
        assertNull(answer);
    }
}
