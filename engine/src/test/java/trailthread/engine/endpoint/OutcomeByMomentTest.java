package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.api.Outcome;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/**
 * The outcome of an attempt by the moment at which it ends, which alone decides whether the request
 * may have been processed.
 */
public class OutcomeByMomentTest {
    private static final long MS = 1_000_000L;
    private static final long LONG_NS = 60_000 * MS;
    private static final int SHORT_BODY_BYTES = 4;

    /** More than the system buffers for a connection whose endpoint does not read. */
    private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;

    private final EventLoop loop;
    private final BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();

    public OutcomeByMomentTest() throws IOException {
        loop = new EventLoop("outcomes");
    }

    @After
    public void closeLoop() {
        loop.xnioWorker().shutdownNow();
    }

    /** What an endpoint does with a connection, which it may close or leave open. */
    private interface EndpointScript {
        void run(Socket connection) throws IOException;
    }

    /** Reads the request's head and this many bytes of its body, then runs another script. */
    private static EndpointScript readRequest(int bytes, EndpointScript then) {
        return connection -> {
            byte[] last = new byte[4];
            while (!new String(last, StandardCharsets.US_ASCII).equals("\r\n\r\n")) {
                System.arraycopy(last, 1, last, 0, 3);
                last[3] = (byte) connection.getInputStream().read();
            }
            connection.getInputStream().readNBytes(bytes);
            then.run(connection);
        };
    }

    private static EndpointScript respond(String response, boolean closes) {
        return connection -> {
            connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            if (closes) {
                connection.close();
            }
        };
    }

    private void assertOutcome(
            String moment, int length, long timeoutNs, EndpointScript script, Outcome expected)
            throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            attempt(server.getLocalPort(), length, timeoutNs, LONG_NS);
            try (Socket connection = server.accept()) {
                script.run(connection);
                assertNextOutcome(moment, expected);
            }
        }
    }

    private EndpointPool attempt(int port, int length, long timeoutNs, long connectNs) {
        return attempt(port, length, timeoutNs, connectNs, ConnectionLimit.of(4));
    }

    private EndpointPool attempt(
            int port, int length, long timeoutNs, long connectNs, ConnectionLimit limit) {
        EndpointPool endpoints =
                new EndpointPool(loop, connectNs, LONG_NS, 0, limit, 0, CpuAccount.NONE);
        loop.execute(
                () -> {
                    endpoints.update(EndpointFixture.listing(port), loop.now());
                    endpoints.attempt(
                            "w",
                            new EndpointRequest(
                                    "1", "use", "POST", "/use", null, new byte[length], null),
                            timeoutNs,
                            results::add);
                });
        return endpoints;
    }

    private void assertNextOutcome(String moment, Outcome expected) throws InterruptedException {
        AttemptResult result = results.poll(30, TimeUnit.SECONDS);
        assertNotNull(moment, result);
        assertEquals(moment, expected, result.outcome());
    }

    @Test
    public void beforeAConnectionIsEstablished() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(server.getInetAddress(), server.getLocalPort());
                Socket second = new Socket(server.getInetAddress(), server.getLocalPort())) {
            assertEquals(first.getPort(), second.getPort()); // these fill the backlog
            attempt(server.getLocalPort(), SHORT_BODY_BYTES, LONG_NS, 200 * MS);
            assertNextOutcome("the connect times out", Outcome.CONNECT_FAILED);
            attempt(server.getLocalPort(), SHORT_BODY_BYTES, 200 * MS, LONG_NS);
            assertNextOutcome(
                    "the attempt times out before it is connected", Outcome.CONNECT_FAILED);
        }
        ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        closed.close();
        attempt(closed.getLocalPort(), SHORT_BODY_BYTES, LONG_NS, LONG_NS);
        assertNextOutcome("the connection is refused", Outcome.CONNECT_FAILED);
    }

    /** Guards against servers that are given up, as this node has used up its connections. */
    @Test
    public void aUsedUpConnectionLimitIsNoFailureOfTheEndpoint() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            int port = server.getLocalPort();
            attempt(port, SHORT_BODY_BYTES, LONG_NS, LONG_NS, ConnectionLimit.of(0));
            assertNextOutcome("no connection is left", Outcome.NOT_SENT);
        }
    }

    @Test
    public void beforeTheLastByteIsWritten() throws Exception {
        String unprocessed = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        String error = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
        assertOutcome(
                "the connection ends",
                LONG_BODY_BYTES,
                LONG_NS,
                readRequest(1, Socket::close),
                Outcome.CONNECT_FAILED);
        assertOutcome(
                "the attempt times out",
                LONG_BODY_BYTES,
                300 * MS,
                readRequest(1, c -> {}),
                Outcome.CONNECT_FAILED);
        assertOutcome(
                "it is rejected",
                LONG_BODY_BYTES,
                LONG_NS,
                readRequest(1, respond(unprocessed, false)),
                Outcome.REJECTED);
        assertOutcome(
                "it gets an error response",
                LONG_BODY_BYTES,
                LONG_NS,
                readRequest(1, respond(error, false)),
                Outcome.ERROR);
        assertOutcome(
                "the connection ends within a response",
                LONG_BODY_BYTES,
                LONG_NS,
                readRequest(1, respond(error.substring(0, 20), true)),
                Outcome.CONNECT_FAILED);
    }

    @Test
    public void afterTheLastByteIsWritten() throws Exception {
        String served = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade";
        String[] rejections = {
            "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 504 Over\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
        };
        String[] errors = {
            "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 Busy\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 100 Continue\r\nX-Unprocessed: 1\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        };
        assertOutcome(
                "no response arrives",
                SHORT_BODY_BYTES,
                300 * MS,
                readRequest(SHORT_BODY_BYTES, c -> {}),
                Outcome.TIMEOUT);
        assertOutcome(
                "the connection ends",
                SHORT_BODY_BYTES,
                LONG_NS,
                readRequest(SHORT_BODY_BYTES, Socket::close),
                Outcome.RESET);
        assertOutcome(
                "it is served",
                SHORT_BODY_BYTES,
                LONG_NS,
                readRequest(SHORT_BODY_BYTES, respond(served, false)),
                Outcome.OK);
        for (String response : rejections) {
            assertOutcome(
                    response,
                    SHORT_BODY_BYTES,
                    LONG_NS,
                    readRequest(SHORT_BODY_BYTES, respond(response, false)),
                    Outcome.REJECTED);
            assertOutcome(
                    "the connection ends within: " + response,
                    SHORT_BODY_BYTES,
                    LONG_NS,
                    readRequest(
                            SHORT_BODY_BYTES,
                            respond(response.substring(0, response.length() - 2), true)),
                    Outcome.RESET);
            assertOutcome(
                    "the attempt times out within: " + response,
                    SHORT_BODY_BYTES,
                    300 * MS,
                    readRequest(
                            SHORT_BODY_BYTES,
                            respond(response.substring(0, response.length() - 2), false)),
                    Outcome.TIMEOUT);
            assertOutcome(
                    "malformed: " + response,
                    SHORT_BODY_BYTES,
                    LONG_NS,
                    readRequest(
                            SHORT_BODY_BYTES,
                            respond(response.replace("Length: 0", "Length: -1"), false)),
                    Outcome.RESET);
        }
        for (String response : errors) {
            assertOutcome(
                    response,
                    SHORT_BODY_BYTES,
                    LONG_NS,
                    readRequest(SHORT_BODY_BYTES, respond(response, false)),
                    Outcome.ERROR);
        }
        assertOutcome(
                "the attempt times out within a response",
                SHORT_BODY_BYTES,
                300 * MS,
                readRequest(
                        SHORT_BODY_BYTES, respond(served.substring(0, served.length() - 1), false)),
                Outcome.TIMEOUT);
    }
}
