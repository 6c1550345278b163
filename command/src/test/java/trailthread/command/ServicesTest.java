package trailthread.command;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNotSame;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
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
        return "[pools." + name + "]\naim = \"10s\"\ndeadline = \"20s\"\nconnect_within = \"10s\"\n" + keys + "\n";
    }

    private static String route(String name, String keys) {
        return "[[routes]]\nname = \"" + name + "\"\n" + keys + "\n";
    }

    private static String workers(Peer... peers) {
        StringBuilder list = new StringBuilder("workers = [");
        for (Peer peer : peers) {
            list.append('"').append(peer.hostPort()).append("\",");
        }
        return list.append("]\n").toString();
    }

    private String file(String simKeys, String marksKeys) {
        return "[node]\nlisten = \"127.0.0.1:0\"\ndescriptors = 256\n" + pool("sim", simKeys) + pool("marks", marksKeys)
                + route("sim", "host = \"sim.example.org\"\npool = \"sim\"")
                + route("marks", "host = \"*.example.org\"\npool = \"marks\"");
    }

    private void serve() throws Exception {
        stage.serve(file(workers(sim), workers(marks)));
    }

    private static String request(String method, String path, String host, String headers) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers + "\r\n";
    }

    private Message ask(String method, String path, String host, String headers) throws IOException {
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
        assertEquals("the exact host goes before the wildcard", "sim",
                ask("GET", "/x", "SIM.example.org.:80", "").body());
        assertEquals("marks", ask("GET", "http://a.b.example.org/x", "a.b.example.org", "").body());
        assertEquals(400, ask("GET", "http://a.b.example.org/x", "sim.example.org", "").status());
        Message none = ask("GET", "/x", "example.org", "");
        assertEquals(404, none.status());
        assertEquals(400, ask("GET", "/x/../y", "sim.example.org", "").status());
        assertEquals(400, ask("GET", "/x", "sim.example.org", "Host: marks.example.org\r\n").status());
        assertEquals(200, ask("GET", "/-/ready", "anything", "").status());
    }

    @Test
    public void aPlainClientsHeadersAndTargetPassAndWhatItDoesNotSayIsMade() throws Exception {
        serve();
        sim.setScript(asked -> asked.answer("201 Created", "Location: /y\r\nX-Hop: 1\r\nConnection: X-Hop\r\n"
                + "Set-Cookie: a\r\nset-cookie: b\r\n", "made"));
        Message answer = ask("POST", "/a%20b?q=%2f", "sim.example.org", "Content-Type: text/x\r\nX-Mine: 1\r\n"
                + "X-Gone: 2\r\nConnection: keep-alive, x-gone\r\nTE: trailers\r\nContent-Length: 0\r\n");
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
        sim.setScript(asked -> Message.send(asked.connection(), asked.start().startsWith("HEAD")
                ? "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" : "HTTP/1.1 204 No Content\r\n\r\n"));
        for (int i = 0; i < 3; i++) { // on one connection to the worker, as nothing is left on it
            Message head = ask("HEAD", "/x", "sim.example.org", "");
            assertEquals(200, head.status());
            assertEquals("7", head.header("Content-Length"));
            assertEquals(204, ask("DELETE", "/x", "sim.example.org", "").status());
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
        sim.setScript(asked -> {
            if (times[0]++ % 2 == 0) {
                asked.connection().close();
            } else {
                asked.answer("200 OK", "", "again");
            }
        });
        assertEquals("again", ask("GET", "/x", "sim.example.org", "").body());
        assertEquals("again", ask("PUT", "/x", "sim.example.org", "Content-Length: 0\r\n").body());
        assertEquals("it may have run", 502,
                ask("POST", "/x", "sim.example.org", "Content-Length: 0\r\n").status());
        for (int i = 0; i < 5; i++) {
            sim.asked();
        }
        sim.wasNotAsked();
        assertEquals("laxer than its method", 400,
                ask("POST", "/x", "sim.example.org", "X-Service-Class: safe\r\nContent-Length: 0\r\n").status());
        times[0] = 0;
        assertEquals("stricter", 502, ask("GET", "/x", "sim.example.org", "X-Service-Class: unsafe\r\n").status());
    }

    @Test
    public void aWorkersFaultIsNoAnswer() throws Exception {
        serve();
        sim.setScript(asked -> asked.answer("429 Too Many Requests", "", ""));
        assertEquals("only the node's own module refuses", 502,
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
        stage.reload(file(workers(sim), "attempts = 2\n" + workers(marks)));
        stage.logged("1 pools kept, 1 begun, 1 ending");
        ask("GET", "/2", "sim.example.org", "");
        ask("GET", "/2", "marks.example.org", "");
        assertSame("the same connection", toSim, sim.asked().connection());
        assertNotSame("another pool", toMarks, marks.asked().connection());
        assertSame("what the old pool held is closed", toMarks,
                marks.closed.poll(Peer.LONGEST_WAIT_S, TimeUnit.SECONDS));
    }

    @Test
    public void callsOnTheWayEndUnderTheOldFile() throws Exception {
        serve();
        CountDownLatch answer = new CountDownLatch(1);
        marks.setScript(asked -> {
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
        Message.send(half, request("POST", "/half", "marks.example.org", "Content-Length: 4\r\n") + "po");
        // Its route has lost its pool meanwhile.
        stage.reload("[node]\nlisten = \"127.0.0.1:0\"\ndescriptors = 256\n" + pool("sim", workers(sim))
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
        stage.reload(file(workers(sim), "deadlin = \"1s\"\n" + workers(marks)));
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
            stage.serve(file("file = \"" + list + "\"", workers(marks)));
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
            stage.serve(file(keys, workers(marks)).replace("aim = \"10s\"", "aim = \"300ms\""));
            Message refused = ask("GET", "/x", "sim.example.org", "");
            assertEquals(503, refused.status());
            assertNotNull(refused.header("Retry-After"));
            Files.writeString(list, Stage.list(2, true, "leaving", sim));
            for (int i = 0; i < 4; i++) { // across the time in which the file is looked at
                assertEquals("it wants nothing new", 503, ask("GET", "/x", "sim.example.org", "").status());
            }
            sim.wasNotAsked();
            assertEquals("marks", ask("GET", "/x", "marks.example.org", "").body());
        } finally {
            Files.deleteIfExists(list);
        }
    }

    /** Its workers take what they get and never answer. */
    @Test
    public void aPoolThatHangsTakesNothingOfTheOthers() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        marks.setScript(asked -> {
            try {
                never.await(Peer.LONGEST_WAIT_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        });
        stage.serve(file(workers(sim), workers(marks)).replace("[pools.marks]", "[pools.marks]\nattempts = 1"));
        for (int i = 0; i < 110; i++) { // clients may hold 124, and calls 83
            Message.send(stage.connect(), request("POST", "/x", "marks.example.org", "Content-Length: 0\r\n"));
        }
        for (int i = 0; i < 50; i++) {
            Message answer = ask("GET", "/x", "sim.example.org", "");
            assertEquals(200, answer.status());
        }
        never.countDown();
    }

    /** Two hundred, a quarter of them broken; nothing lost, nothing kept. */
    @Test
    public void manyReloadsUnderLoad() throws Exception {
        serve();
        String[] files = {file(workers(sim), workers(marks)), file(workers(sim), "attempts = 2\n" + workers(marks)),
            file("attempts = 2\n" + workers(sim), workers(marks)), "[node\n"};
        ask("GET", "/warm", "sim.example.org", "");
        ask("GET", "/warm-too", "marks.example.org", "");
        int before = stage.descriptors();
        Thread reloads = new Thread(() -> {
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
                Message.send(client, request("POST", "/" + calls, host + ".example.org", "Content-Length: 0\r\n"));
                Message answer = Message.read(client);
                assertNotNull("a connection was ended under a call", answer);
                assertEquals("call " + calls + ": " + answer.start(), host, answer.body());
            }
        }
        reloads.join();
        assertTrue("calls made: " + calls, calls > 100);
        List<Message> asked = new ArrayList<>(sim.requests);
        asked.addAll(marks.requests);
        assertEquals("every call once", calls + 2, asked.stream().map(Message::start).distinct().count());
        assertEquals("every call once", calls + 2, asked.size());
        int after = stage.descriptors();
        for (int i = 0; i < 100 && after > before + 4; i++) {
            Thread.sleep(100);
            after = stage.descriptors();
        }
        assertTrue("descriptors before and after: " + before + " " + after, after <= before + 4);
    }
}
