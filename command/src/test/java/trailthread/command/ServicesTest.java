package trailthread.command;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNotSame;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.Peer;
import trailthread.testkit.Stage;

/** Several services behind one address, over real sockets. */
public class ServicesTest {
    private final Stage stage;
    private final Peer sim;
    private final Peer marks;

    public ServicesTest() throws Exception {
        stage = new Stage();
        sim = stage.add(Peer.serving("sim"));
        marks = stage.add(Peer.serving("marks"));
    }

    @After
    public void end() throws Exception {
        stage.end();
    }

    private static String pool(String name, String keys) {
        return "[pools."
                + name
                + "]\naim = \"10s\"\ndeadline = \"20s\"\nconnect_within = \"10s\"\n"
                + keys
                + "\n";
    }

    private static String route(String name, String keys) {
        return "[[routes]]\nname = \"" + name + "\"\n" + keys + "\n";
    }

    private static String endpoints(Peer... peers) {
        StringBuilder list = new StringBuilder("workers = [");
        for (Peer peer : peers) {
            list.append('"').append(peer.hostPort()).append("\",");
        }
        return list.append("]\n").toString();
    }

    private String file(String simKeys, String marksKeys) {
        return "[node]\nlisten = \"127.0.0.1:0\"\ndescriptors = 256\n"
                + pool("sim", simKeys)
                + pool("marks", marksKeys)
                + route("sim", "host = \"sim.example.org\"\npool = \"sim\"")
                + route("marks", "host = \"*.example.org\"\npool = \"marks\"");
    }

    private void serve() throws Exception {
        stage.serve(file(endpoints(sim), endpoints(marks)));
    }

    private static String request(String method, String path, String host, String headers) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers + "\r\n";
    }

    private Message ask(String method, String path, String host, String headers)
            throws IOException {
        try (Socket client = stage.connect()) {
            Message.send(client, request(method, path, host, headers));
            return Message.read(client, method.equals("HEAD"));
        }
    }

    @Test
    public void theSamePathOnTwoHostsGoesToTwoPools() throws Exception {
        serve();
        assertEquals("sim", ask("GET", "/x", "sim.example.org", "").body());
        assertEquals("marks", ask("GET", "/x", "marks.example.org", "").body());
        assertEquals(
                "the exact host goes before the wildcard",
                "sim",
                ask("GET", "/x", "SIM.example.org.:80", "").body());
        assertEquals("marks", ask("GET", "http://a.b.example.org/x", "a.b.example.org", "").body());
        assertEquals(400, ask("GET", "http://a.b.example.org/x", "sim.example.org", "").status());
        Message none = ask("GET", "/x", "example.org", "");
        assertEquals(404, none.status());
        assertEquals(400, ask("GET", "/x/../y", "sim.example.org", "").status());
        assertEquals(
                400, ask("GET", "/x", "sim.example.org", "Host: marks.example.org\r\n").status());
        assertEquals(200, ask("GET", "/-/ready", "anything", "").status());
    }

    @Test
    public void aPlainClientsHeadersAndTargetPassAndWhatItDoesNotSayIsMade() throws Exception {
        serve();
        sim.setScript(
                asked ->
                        asked.answer(
                                "201 Created",
                                "Location: /y\r\nX-Hop: 1\r\nConnection: X-Hop\r\n"
                                        + "Set-Cookie: a\r\nset-cookie: b\r\n",
                                "made"));
        Message answer =
                ask(
                        "POST",
                        "/a%20b?q=%2f",
                        "sim.example.org",
                        "Content-Type: text/x\r\nX-Mine: 1\r\n"
                                + "X-Gone: 2\r\nConnection: keep-alive, x-gone\r\n"
                                + "TE: trailers\r\nContent-Length: 0\r\n");
        assertEquals(201, answer.status());
        assertEquals("/y", answer.header("Location"));
        assertEquals(null, answer.header("X-Hop"));
        assertEquals("1.1 trailthread", answer.header("Via"));
        Message asked = sim.asked();
        assertEquals("POST /a%20b?q=%2f HTTP/1.1", asked.start());
        assertEquals("sim.example.org", asked.header("Host"));
        assertEquals("text/x", asked.header("Content-Type"));
        assertEquals("1", asked.header("X-Mine"));
        assertEquals("hop by hop", null, asked.header("X-Gone"));
        assertEquals("hop by hop", null, asked.header("TE"));
        assertEquals("1.1 trailthread", asked.header("Via"));
        assertNotNull("an id is made", asked.header("X-Correlation-Id"));
        assertTrue(Double.parseDouble(asked.header("X-Time-Left")) <= 20);
    }

    @Test
    public void answersWithoutBodies() throws Exception {
        serve();
        sim.setScript(
                asked ->
                        Message.send(
                                asked.connection(),
                                asked.start().startsWith("HEAD")
                                        ? "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
                                        : "HTTP/1.1 204 No Content\r\n\r\n"));
        for (int i = 0; i < 3; i++) { // on one connection to the endpoint, as nothing is left on it
            Message head = ask("HEAD", "/x", "sim.example.org", "");
            assertEquals(200, head.status());
            assertEquals("7", head.header("Content-Length"));
            Thread.sleep(
                    20); // right after an answer its connection is not used, as a second one may
            // come
            assertEquals(204, ask("DELETE", "/x", "sim.example.org", "").status());
            Thread.sleep(20);
        }
        Socket first = sim.asked().connection();
        for (int i = 0; i < 5; i++) {
            assertSame(first, sim.asked().connection());
        }
    }

    @Test
    public void theMethodSaysWhatIsSentAgain() throws Exception {
        serve();
        int[] times = new int[1];
        sim.setScript(
                asked -> {
                    if (times[0]++ % 2 == 0) {
                        asked.connection().close();
                    } else {
                        asked.answer("200 OK", "", "again");
                    }
                });
        assertEquals("again", ask("GET", "/x", "sim.example.org", "").body());
        assertEquals("again", ask("PUT", "/x", "sim.example.org", "Content-Length: 0\r\n").body());
        assertEquals(
                "it may have run",
                502,
                ask("POST", "/x", "sim.example.org", "Content-Length: 0\r\n").status());
        for (int i = 0; i < 5; i++) {
            sim.asked();
        }
        sim.wasNotAsked();
        assertEquals(
                "laxer than its method",
                400,
                ask(
                                "POST",
                                "/x",
                                "sim.example.org",
                                "X-Service-Class: safe\r\nContent-Length: 0\r\n")
                        .status());
        times[0] = 0;
        assertEquals(
                "stricter",
                502,
                ask("GET", "/x", "sim.example.org", "X-Service-Class: unsafe\r\n").status());
    }

    @Test
    public void aEndpointsFaultIsNoAnswer() throws Exception {
        serve();
        sim.setScript(asked -> asked.answer("429 Too Many Requests", "", ""));
        assertEquals(
                "only the node's own module refuses",
                502,
                ask("POST", "/x", "sim.example.org", "Content-Length: 0\r\n").status());
        sim.setScript(asked -> asked.answer("404 Not Found", "", "none such"));
        assertEquals("none such", ask("GET", "/x", "sim.example.org", "").body());
    }

    @Test
    public void aReloadLeavesAloneWhatDidNotChange() throws Exception {
        serve();
        ask("GET", "/1", "sim.example.org", "");
        ask("GET", "/1", "marks.example.org", "");
        Socket toSim = sim.asked().connection();
        Socket toMarks = marks.asked().connection();
        stage.reload(file(endpoints(sim), "attempts = 2\n" + endpoints(marks)));
        stage.logged("1 pools kept, 1 begun, 1 ending");
        Thread.sleep(20); // as above
        ask("GET", "/2", "sim.example.org", "");
        ask("GET", "/2", "marks.example.org", "");
        assertSame("the same connection", toSim, sim.asked().connection());
        assertNotSame("another pool", toMarks, marks.asked().connection());
        assertSame(
                "what the old pool held is closed",
                toMarks,
                marks.closed.poll(Peer.LONGEST_WAIT_S, TimeUnit.SECONDS));
    }

    @Test
    public void callsOnTheWayEndUnderTheOldFile() throws Exception {
        serve();
        CountDownLatch answer = new CountDownLatch(1);
        marks.setScript(
                asked -> {
                    try {
                        answer.await(Peer.LONGEST_WAIT_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                    asked.answer("200 OK", "", "late");
                });
        Socket before = stage.connect();
        Message.send(before, request("POST", "/x", "marks.example.org", "Content-Length: 0\r\n"));
        marks.asked();
        Socket half = stage.connect();
        Message.send(
                half,
                request("POST", "/half", "marks.example.org", "Content-Length: 4\r\n") + "po");
        // Its route has lost its pool meanwhile.
        stage.reload(
                "[node]\nlisten = \"127.0.0.1:0\"\ndescriptors = 256\n"
                        + pool("sim", endpoints(sim))
                        + route("all", "pool = \"sim\""));
        stage.logged("1 pools kept, 0 begun, 1 ending");
        assertEquals("sim", ask("GET", "/x", "marks.example.org", "").body());
        Message.send(half, "ur");
        assertEquals("routed by the new file", "sim", Message.read(half).body());
        answer.countDown();
        assertEquals("late", Message.read(before).body());
        stage.logged("pool marks has ended");
    }

    @Test
    public void aFileWithFaultsChangesNothing() throws Exception {
        serve();
        stage.reload(file(endpoints(sim), "deadlin = \"1s\"\n" + endpoints(marks)));
        stage.logged("pools.marks.deadlin: expected a key that is known, such as deadline");
        stage.logged("is not taken over: 1 faults");
        assertEquals("marks", ask("GET", "/x", "marks.example.org", "").body());
    }

    @Test
    public void aHalfWrittenListChangesNothing() throws Exception {
        Path list = Files.createTempFile("workers", ".json");
        Path next = Files.createTempFile("workers", ".json");
        try {
            Files.writeString(list, Stage.list(1, true, "active", sim));
            stage.serve(file("file = \"" + list + "\"", endpoints(marks)));
            Message answer = ask("GET", "/x", "sim.example.org", "");
            assertEquals(stage.log.toString(), "sim", answer.body());
            String whole = Stage.list(2, true, "active", marks);
            Files.writeString(list, whole.substring(0, whole.length() / 2));
            stage.logged("can't be used");
            assertEquals("sim", ask("GET", "/x", "sim.example.org", "").body());
            Files.writeString(next, whole);
            Files.move(next, list, StandardCopyOption.REPLACE_EXISTING);
            stage.logged("can be used again");
            assertEquals("marks", ask("GET", "/x", "sim.example.org", "").body());
        } finally {
            Files.deleteIfExists(list);
            Files.deleteIfExists(next);
        }
    }

    @Test
    public void anEmptyListRefusesAndAListOfOneThatDrainsToo() throws Exception {
        Path list = Files.createTempFile("workers", ".json");
        try {
            Files.writeString(list, Stage.list(1, true, "active"));
            String keys = "file = \"" + list + "\"\n";
            stage.serve(
                    file(keys, endpoints(marks))
                            .replace(
                                    "aim = \"10s\"\ndeadline = \"20s\"",
                                    "aim = \"300ms\"\ndeadline = \"600ms\""));
            Message refused = ask("GET", "/x", "sim.example.org", "");
            assertEquals(stage.log.toString(), 503, refused.status());
            assertNotNull(refused.header("Retry-After"));
            Files.writeString(list, Stage.list(2, true, "leaving", sim));
            for (int i = 0; i < 4; i++) { // across the time in which the file is looked at
                assertEquals(
                        stage.log.toString(),
                        503,
                        ask("GET", "/x", "sim.example.org", "").status());
            }
            sim.wasNotAsked();
            assertEquals("marks", ask("GET", "/x", "marks.example.org", "").body());
        } finally {
            Files.deleteIfExists(list);
        }
    }

    private String overloaded(String marksEndpoints) {
        return file(endpoints(sim), "attempts = 2\n" + marksEndpoints)
                .replace(
                        "[pools.marks]\naim = \"10s\"\ndeadline = \"20s\"\nconnect_within = \"10s\"",
                        "[pools.marks]\naim = \"1s\"\ndeadline = \"3s\"\nconnect_within = \"300ms\"");
    }

    /** Many more calls than clients may have open, all at once, each on a connection of its own. */
    private void crowdMarks() throws IOException {
        for (int i = 0; i < 110; i++) { // clients may hold 124, and calls 83
            Message.send(
                    stage.connect(),
                    request("POST", "/x", "marks.example.org", "Content-Length: 0\r\n"));
        }
    }

    /** Every call is served, and by one attempt. */
    private void simIsServedAsIfAlone() throws Exception {
        int before = sim.requests.size();
        try (Socket kept = stage.connect()) {
            for (int i = 0; i < 40; i++) {
                Message.send(kept, request("GET", "/x", "sim.example.org", ""));
                Message answer = Message.read(kept);
                assertNotNull("its connection was closed", answer);
                assertEquals(answer.start(), "sim", answer.body());
                assertEquals("sim", ask("GET", "/x", "sim.example.org", "").body());
            }
        }
        assertEquals("attempts", before + 80, sim.requests.size());
    }

    /** Its endpoints take what they get and never answer. */
    @Test
    public void aPoolThatHangsTakesNothingOfTheOthers() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        marks.setScript(
                asked -> {
                    try {
                        never.await(Peer.LONGEST_WAIT_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                });
        stage.serve(overloaded(endpoints(marks)));
        crowdMarks();
        simIsServedAsIfAlone();
        never.countDown();
    }

    /** Connects to its endpoints never come up. */
    @Test
    public void aPoolThatHangsOnConnectTakesNothingOfTheOthers() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket second = new Socket(full.getInetAddress(), full.getLocalPort())) {
            stage.serve(overloaded("workers = [\"127.0.0.1:" + full.getLocalPort() + "\"]"));
            crowdMarks();
            simIsServedAsIfAlone();
            assertTrue(first.isConnected() && second.isConnected());
        }
    }

    /** Its endpoints answer a byte a second. */
    @Test
    public void aPoolThatDripsTakesNothingOfTheOthers() throws Exception {
        marks.setScript(
                asked -> {
                    Message.send(
                            asked.connection(), "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
                    for (int i = 0; i < 5; i++) {
                        Message.send(asked.connection(), "x");
                        try {
                            Thread.sleep(1000);
                        } catch (InterruptedException e) {
                            throw new AssertionError(e);
                        }
                    }
                });
        stage.serve(overloaded(endpoints(marks)));
        crowdMarks();
        simIsServedAsIfAlone();
    }

    /** They carry no call, so they are laid to no pool, and take none of what calls have. */
    @Test
    public void aCrowdOfSilentConnectionsTakesNothingOfAnyPool() throws Exception {
        serve();
        for (int i = 0; i < 200; i++) { // clients may hold 124
            stage.connect();
        }
        simIsServedAsIfAlone();
        assertEquals("marks", ask("GET", "/x", "marks.example.org", "").body());
    }

    /** Those that had idled for longest made room once, whosever they were. */
    @Test
    public void oneServicesIdleClientsMakeNoRoomForAnothersCrowd() throws Exception {
        serve();
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            kept.add(stage.connect());
            Message.send(kept.get(i), request("GET", "/x", "sim.example.org", ""));
            assertEquals("sim", Message.read(kept.get(i)).body());
        }
        for (int i = 0; i < 150; i++) { // clients may hold 124
            Socket crowd = stage.connect();
            Message.send(crowd, request("GET", "/x", "marks.example.org", ""));
            assertEquals("marks", Message.read(crowd).body());
        }
        Thread.sleep(500); // past every time after which idle connections make room at once
        for (Socket client : kept) {
            Message.send(client, request("GET", "/x", "sim.example.org", ""));
            Message answer = Message.read(client);
            assertNotNull("closed for the others", answer);
            assertEquals("sim", answer.body());
        }
    }

    /** Bodies past a pool's part are refused; another pool's are not. */
    @Test
    public void bodyMemoryIsEachPoolsOwn() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        marks.setScript(
                asked -> {
                    try {
                        answer.await(Peer.LONGEST_WAIT_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                    asked.answer("200 OK", "", "kept");
                });
        stage.serve(
                file(
                        endpoints(sim),
                        endpoints(marks)
                                + "[pools.marks.limits]\nbody_memory_guaranteed = \"64KiB\"\n"
                                + "body_memory_most = \"100KiB\"\n"));
        String body = "x".repeat(50 * 1024);
        List<Socket> held = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            held.add(stage.connect());
            Message.send(
                    held.get(i),
                    request("POST", "/x", "marks.example.org", "Content-Length: 51200\r\n") + body);
            marks.asked();
        }
        Socket third = stage.connect();
        Message.send(
                third,
                request("POST", "/x", "marks.example.org", "Content-Length: 51200\r\n") + body);
        assertEquals("no room for it", 503, Message.read(third).status());
        Socket other = stage.connect();
        Message.send(
                other,
                request("POST", "/x", "sim.example.org", "Content-Length: 51200\r\n") + body);
        assertEquals("sim", Message.read(other).body());
        assertEquals(body, sim.asked().body());
        answer.countDown();
        for (Socket client : held) {
            assertEquals("kept", Message.read(client).body());
        }
        Socket again = stage.connect();
        Message.send(
                again,
                request("POST", "/x", "marks.example.org", "Content-Length: 51200\r\n") + body);
        assertEquals("given back", "kept", Message.read(again).body());
    }

    /** Two hundred, a quarter of them broken; nothing lost, nothing kept. */
    @Test
    public void manyReloadsUnderLoad() throws Exception {
        serve();
        String[] files = {
            file(endpoints(sim), endpoints(marks)),
            file(endpoints(sim), "attempts = 2\n" + endpoints(marks)),
            file("attempts = 2\n" + endpoints(sim), endpoints(marks)),
            "[node\n"
        };
        ask("GET", "/warm", "sim.example.org", "");
        ask("GET", "/warm-too", "marks.example.org", "");
        int before = stage.descriptors();
        Thread reloads =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; i < 200; i++) {
                                    stage.reload(files[i % files.length]);
                                    Thread.sleep(20);
                                }
                                stage.reload(files[0]);
                            } catch (IOException | InterruptedException e) {
                                throw new AssertionError(e);
                            }
                        });
        reloads.start();
        int calls = 0;
        try (Socket client = stage.connect()) {
            while (reloads.isAlive()) {
                String host = calls++ % 2 == 0 ? "sim" : "marks";
                Message.send(
                        client,
                        request(
                                "POST",
                                "/" + calls,
                                host + ".example.org",
                                "Content-Length: 0\r\n"));
                Message answer = Message.read(client);
                assertNotNull("a connection was ended under a call", answer);
                assertEquals("call " + calls + ": " + answer.start(), host, answer.body());
            }
        }
        reloads.join();
        assertTrue("calls made: " + calls, calls > 100);
        List<Message> asked = new ArrayList<>(sim.requests);
        asked.addAll(marks.requests);
        assertEquals(
                "every call once",
                calls + 2,
                asked.stream().map(Message::start).distinct().count());
        assertEquals("every call once", calls + 2, asked.size());
        int after = stage.descriptors();
        for (int i = 0; i < 100 && after > before + 4; i++) {
            Thread.sleep(100);
            after = stage.descriptors();
        }
        assertTrue("descriptors before and after: " + before + " " + after, after <= before + 4);
    }
}
