package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.junit.Before;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.SystemCallFaults;
import trailthread.testkit.SystemCallFaults.Call;
import trailthread.testkit.TestCluster;

/**
 * Reads and writes that a signal interrupts (EINTR), or that transfer few bytes, are no failures.
 */
public class InterruptedCallsTest extends WithAdminServer {
    private static final int REQUESTS = 200;
    private static final int PER_THOUSAND = 150;

    /** More than is buffered of a message before it is streamed. */
    private static final int LONG_BODY_BYTES = 96 * 1024;

    private static final List<String> RESPONSE_FRAMINGS =
            List.of("Content-Length", "Transfer-Encoding", "Connection");

    private static final String NO_MESSAGE_HELD = "trailthread_message_memory_bytes 0.0";

    private SystemCallFaults faults;

    @Before
    public void loadFaults() throws Exception {
        faults = cluster.closeAtEnd(new SystemCallFaults(1));
        cluster.launcher = faults.launcher();
    }

    /** A body that differs for each request, and is long for some. */
    private static String body(int number) {
        String start = "body of " + number + " ";
        return number % 10 == 0 ? start + "x".repeat(LONG_BODY_BYTES) : start;
    }

    /** Responds with the request's own body, framed in one of the ways that HTTP has. */
    private static void echo(Message request) throws IOException {
        String body = request.body();
        String framing = RESPONSE_FRAMINGS.get(body.length() % RESPONSE_FRAMINGS.size());
        switch (framing) {
            case "Transfer-Encoding" ->
                    Message.send(
                            request.connection(),
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(body.length())
                                    + "\r\n"
                                    + body
                                    + "\r\n0\r\n\r\n");
            case "Connection" -> {
                Message.send(
                        request.connection(),
                        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
                request.connection().shutdownOutput();
            }
            default -> request.respond("200 OK", "", body);
        }
    }

    private static String request(int number) {
        String body = body(number);
        return TestCluster.requestText("action", "", "")
                .replace("Key: 5c0f6e1a2b3d4c59", "Key: " + number)
                .replace(
                        "Content-Length: 4\r\n\r\npour",
                        "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private void assertServed(Call... calls) throws Exception {
        cluster.start(
                TestCluster.SETTINGS,
                cluster.closeAtEnd(new ScriptedServer(InterruptedCallsTest::echo)));
        for (Call call : calls) {
            faults.failRandomly(call, PER_THOUSAND);
        }
        Socket client = cluster.connect();
        for (int number = 0; number < REQUESTS; number++) {
            Message.send(client, request(number));
            Message response = Message.read(client);
            assertTrue("no response to request " + number, response != null);
            assertEquals("request " + number, "HTTP/1.1 200 OK", response.startLine());
            assertEquals("request " + number, body(number), response.body());
        }
        for (Call call : calls) {
            assertTrue(call + " was never changed", faults.injected(call) > 0);
            faults.failRandomly(call, 0);
        }
        cluster.awaitMetricLine("/metrics", NO_MESSAGE_HELD);
        assertTrue(
                cluster.log.toString(),
                cluster.log.stream().noneMatch(line -> line.contains("Exception")));
    }

    /** Guards against interrupted reads and writes that pass for the end of the connection. */
    @Test
    public void interruptedReadsAndWritesCloseNoConnection() throws Exception {
        assertServed(Call.READ, Call.WRITE);
    }

    @Test
    public void shortReadsAndWritesLoseNoByte() throws Exception {
        faults.transferFewBytes(Call.READ);
        faults.transferFewBytes(Call.WRITE);
        assertServed(Call.READ, Call.WRITE);
    }

    /** Guards against connects that hang when the check of their success is interrupted. */
    @Test
    public void interruptedWaitsAreRepeated() throws Exception {
        assertServed(Call.WAIT);
    }
}
