package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.api.EndpointState;
import trailthread.api.Outcome;
import trailthread.engine.discovery.DiscoveredEndpoint;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/**
 * How an attempt ends, by the moment at which it does; whether it may have run follows from that
 * alone.
 */
public class OutcomeByMomentTest {
    private static final long MS = 1_000_000L;
    private static final long LONG_NS = 60_000 * MS;
    private static final int SHORT = 4;

    /** More than the system holds for a connection whose endpoint does not read. */
    private static final int LONG = 32 * 1024 * 1024;

    private final EventLoop loop;
    private final BlockingQueue<AttemptResult> endings = new LinkedBlockingQueue<>();

    public OutcomeByMomentTest() throws IOException {
        loop = new EventLoop("moments");
    }

    @After
    public void end() {
        loop.worker().shutdownNow();
    }

    /**
     * What an endpoint does once a connection is there; it ends the connection, or leaves it open.
     */
    private interface Act {
        void on(Socket connection) throws IOException;
    }

    /** Reads the head, and so much of the body. */
    private static Act reads(int bytes, Act then) {
        return connection -> {
            byte[] last = new byte[4];
            while (!new String(last, StandardCharsets.US_ASCII).equals("\r\n\r\n")) {
                System.arraycopy(last, 1, last, 0, 3);
                last[3] = (byte) connection.getInputStream().read();
            }
            connection.getInputStream().readNBytes(bytes);
            then.on(connection);
        };
    }

    private static Act answers(String answer, boolean closes) {
        return connection -> {
            connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            if (closes) {
                connection.close();
            }
        };
    }

    private void plays(String moment, int length, long timeoutNs, Act act, Outcome expected)
            throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            attempt(server.getLocalPort(), length, timeoutNs, LONG_NS);
            try (Socket connection = server.accept()) {
                act.on(connection);
                ends(moment, expected);
            }
        }
    }

    private EndpointPool attempt(int port, int length, long timeoutNs, long connectNs) {
        EndpointPool endpoints =
                new EndpointPool(
                        loop, connectNs, LONG_NS, 0, ConnectionLimit.of(4), 0, CpuAccount.NONE);
        loop.execute(
                () -> {
                    endpoints.update(
                            new DiscoveryUpdate(
                                    1,
                                    true,
                                    List.of(
                                            new DiscoveredEndpoint(
                                                    "w",
                                                    "127.0.0.1:" + port,
                                                    "a",
                                                    0,
                                                    EndpointState.READY,
                                                    1,
                                                    0))),
                            loop.now());
                    endpoints.attempt(
                            "w",
                            new EndpointRequest(
                                    "1", "use", "POST", "/use", null, new byte[length], null),
                            timeoutNs,
                            endings::add);
                });
        return endpoints;
    }

    private void ends(String moment, Outcome expected) throws InterruptedException {
        AttemptResult ending = endings.poll(30, TimeUnit.SECONDS);
        assertNotNull(moment, ending);
        assertEquals(moment, expected, ending.outcome());
    }

    @Test
    public void beforeAConnectionIsThere() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(server.getInetAddress(), server.getLocalPort());
                Socket second = new Socket(server.getInetAddress(), server.getLocalPort())) {
            assertEquals(first.getPort(), second.getPort()); // these fill the backlog
            attempt(server.getLocalPort(), SHORT, LONG_NS, 200 * MS);
            ends("the connection does not come up", Outcome.CONNECT_FAILED);
            attempt(server.getLocalPort(), SHORT, 200 * MS, LONG_NS);
            ends("its time is over before that", Outcome.CONNECT_FAILED);
        }
        ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        closed.close();
        attempt(closed.getLocalPort(), SHORT, LONG_NS, LONG_NS);
        ends("the connection is refused", Outcome.CONNECT_FAILED);
    }

    @Test
    public void beforeTheLastByteIsWritten() throws Exception {
        String unprocessed = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        String error = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
        plays(
                "the connection ends",
                LONG,
                LONG_NS,
                reads(1, Socket::close),
                Outcome.CONNECT_FAILED);
        plays("its time is over", LONG, 300 * MS, reads(1, c -> {}), Outcome.CONNECT_FAILED);
        plays(
                "it is turned away",
                LONG,
                LONG_NS,
                reads(1, answers(unprocessed, false)),
                Outcome.REJECTED);
        plays(
                "it is answered with an error",
                LONG,
                LONG_NS,
                reads(1, answers(error, false)),
                Outcome.ERROR);
        plays(
                "an answer is cut",
                LONG,
                LONG_NS,
                reads(1, answers(error.substring(0, 20), true)),
                Outcome.CONNECT_FAILED);
    }

    @Test
    public void afterTheLastByteIsWritten() throws Exception {
        String served = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade";
        String[] turnedAway = {
            "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 504 Over\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
        };
        String[] failed = {
            "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 Busy\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 100 Continue\r\nX-Unprocessed: 1\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        };
        plays("nothing comes", SHORT, 300 * MS, reads(SHORT, c -> {}), Outcome.TIMEOUT);
        plays("the connection ends", SHORT, LONG_NS, reads(SHORT, Socket::close), Outcome.RESET);
        plays("it is served", SHORT, LONG_NS, reads(SHORT, answers(served, false)), Outcome.OK);
        for (String answer : turnedAway) {
            plays(answer, SHORT, LONG_NS, reads(SHORT, answers(answer, false)), Outcome.REJECTED);
            plays(
                    "cut: " + answer,
                    SHORT,
                    LONG_NS,
                    reads(SHORT, answers(answer.substring(0, answer.length() - 2), true)),
                    Outcome.RESET);
            plays(
                    "half: " + answer,
                    SHORT,
                    300 * MS,
                    reads(SHORT, answers(answer.substring(0, answer.length() - 2), false)),
                    Outcome.TIMEOUT);
            plays(
                    "unreadable: " + answer,
                    SHORT,
                    LONG_NS,
                    reads(SHORT, answers(answer.replace("Length: 0", "Length: -1"), false)),
                    Outcome.RESET);
        }
        for (String answer : failed) {
            plays(answer, SHORT, LONG_NS, reads(SHORT, answers(answer, false)), Outcome.ERROR);
        }
        plays(
                "an answer has begun",
                SHORT,
                300 * MS,
                reads(SHORT, answers(served.substring(0, served.length() - 1), false)),
                Outcome.TIMEOUT);
    }
}
