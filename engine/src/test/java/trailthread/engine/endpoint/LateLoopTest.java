package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Test;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.engine.http.ByteSink;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/** Input that the event loop reads late does not count against the endpoint. */
public class LateLoopTest {
    private static final long MS = 1_000_000L;
    private static final long LONG_NS = 60_000 * MS;

    /** Longer than a connection is idle before it is used again. */
    private static final long REUSE_DELAY_MS = 300;

    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".getBytes(StandardCharsets.US_ASCII);

    private final EventLoop loop;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();

    public LateLoopTest() throws IOException {
        loop = new EventLoop("late");
    }

    @After
    public void closeLoopAndServer() throws IOException {
        loop.xnioWorker().shutdownNow();
        server.close();
    }

    private EndpointPool endpoints(long connectTimeoutNs) {
        return endpoints(connectTimeoutNs, LONG_NS);
    }

    private EndpointPool endpoints(long connectTimeoutNs, long idleNs) {
        EndpointPool endpoints =
                new EndpointPool(
                        loop,
                        connectTimeoutNs,
                        idleNs,
                        0,
                        ConnectionLimit.of(16),
                        500 * MS,
                        CpuAccount.NONE);
        loop.execute(
                () -> endpoints.update(EndpointFixture.listing(server.getLocalPort()), loop.now()));
        return endpoints;
    }

    private void attempt(EndpointPool endpoints, long timeoutNs) {
        attempt(endpoints, timeoutNs, Long.MAX_VALUE, "1", 4);
    }

    private void attempt(
            EndpointPool endpoints, long timeoutNs, long writeDeadline, String id, int length) {
        endpoints.attempt(
                "w",
                new EndpointRequest(id, "use", "POST", "/use", null, new byte[length], null),
                timeoutNs,
                writeDeadline,
                loop.now() + timeoutNs,
                results::add);
    }

    private AttemptResult nextResult() throws InterruptedException {
        AttemptResult result = results.poll(30, TimeUnit.SECONDS);
        assertNotNull("the attempt ends", result);
        return result;
    }

    private static void write(Socket connection, byte[] bytes) {
        try {
            connection.getOutputStream().write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Prevents attempts from timing out while their responses lie unread in the socket. */
    @Test
    public void aResponseThatHasArrivedUnreadPreventsTheTimeout() throws Exception {
        EndpointPool endpoints = endpoints(LONG_NS);
        loop.execute(() -> attempt(endpoints, 400 * MS));
        try (Socket connection = server.accept()) {
            EndpointFixture.readRequest(connection);
            loop.execute(
                    () -> {
                        write(connection, RESPONSE);
                        sleep(600); // the timeout is due before the sockets are read
                    });
            assertEquals(Outcome.OK, nextResult().outcome());
        }
    }

    /**
     * Prevents a request from being sent on a connection that the endpoint is closing: taking a
     * connection without using it must not restart its idle time, as the endpoint's own timer of
     * the connection goes on.
     */
    @Test
    public void aConnectionThatWasNotUsedKeepsItsIdleTime() throws Exception {
        EndpointPool endpoints = endpoints(LONG_NS, 1_000 * MS);
        loop.execute(() -> attempt(endpoints, LONG_NS));
        server.setSoTimeout(10_000);
        try (Socket first = server.accept()) {
            EndpointFixture.readRequest(first);
            write(first, RESPONSE);
            assertEquals(Outcome.OK, nextResult().outcome());
            loop.execute(
                    () -> {
                        sleep(500);
                        attempt(endpoints, LONG_NS, 1, "late", 4);
                        loop.execute(
                                () ->
                                        loop.execute(
                                                () -> { // after the late attempt has started
                                                    sleep(500);
                                                    attempt(
                                                            endpoints,
                                                            LONG_NS,
                                                            Long.MAX_VALUE,
                                                            "2",
                                                            4);
                                                }));
                    });
            assertEquals(Outcome.NOT_SENT, nextResult().outcome());
            try (Socket second = server.accept()) {
                assertTrue(EndpointFixture.readRequest(second).contains("X-Correlation-Id: 2\r\n"));
            }
        }
    }

    /**
     * Prevents a request from being sent on a connection that the endpoint has just closed: the
     * sweep that closes expired connections is a timer and may be late.
     */
    @Test
    public void aConnectionIdleForTooLongIsNotUsed() throws Exception {
        EndpointPool endpoints = endpoints(LONG_NS, 1_000 * MS);
        loop.execute(() -> attempt(endpoints, LONG_NS));
        server.setSoTimeout(10_000);
        try (Socket first = server.accept()) {
            EndpointFixture.readRequest(first);
            write(first, RESPONSE);
            assertEquals(Outcome.OK, nextResult().outcome());
            loop.execute(
                    () -> {
                        sleep(1_000);
                        attempt(endpoints, LONG_NS, Long.MAX_VALUE, "2", 4);
                    });
            try (Socket second = server.accept()) {
                assertTrue(EndpointFixture.readRequest(second).contains("X-Correlation-Id: 2\r\n"));
            }
        }
    }

    /** The read before a timeout may find the start of a long response, which is then streamed. */
    @Test
    public void aLongResponseThatHasStartedPreventsTheTimeout() throws Exception {
        int length = 100_000;
        EndpointPool endpoints = endpoints(LONG_NS);
        AtomicInteger streamed = new AtomicInteger();
        loop.execute(
                () ->
                        endpoints.attempt(
                                "w",
                                new EndpointRequest(
                                        "1", "use", "POST", "/use", null, new byte[4], null),
                                400 * MS,
                                new AttemptListener() {
                                    @Override
                                    public ByteSink streamingStarted(
                                            EndpointResponse head,
                                            long contentLength,
                                            LoadReport load,
                                            Runnable onCapacity) {
                                        return new ByteSink() {
                                            @Override
                                            public boolean writePiece(ByteBuffer piece) {
                                                streamed.addAndGet(piece.remaining());
                                                return true;
                                            }

                                            @Override
                                            public void endBody() {
                                                streamed.addAndGet(1);
                                            }

                                            @Override
                                            public void abortBody() {
                                                streamed.set(-1);
                                            }
                                        };
                                    }

                                    @Override
                                    public void attemptEnded(AttemptResult result) {
                                        results.add(result);
                                    }
                                }));
        try (Socket connection = server.accept()) {
            EndpointFixture.readRequest(connection);
            byte[] head =
                    ("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nx")
                            .getBytes(StandardCharsets.US_ASCII);
            loop.execute(
                    () -> {
                        write(connection, head);
                        sleep(600);
                    });
            loop.execute(
                    () -> loop.schedule(200 * MS, () -> write(connection, new byte[length - 1])));
            assertEquals(Outcome.OK, nextResult().outcome());
            assertEquals(length + 1, streamed.get());
        }
    }

    /** Prevents a late loop from counting an established connection as a failed connect. */
    @Test
    public void anEstablishedConnectionPreventsTheConnectTimeout() throws Exception {
        EndpointPool endpoints = endpoints(100 * MS);
        loop.execute(
                () -> {
                    attempt(endpoints, LONG_NS);
                    loop.execute(() -> sleep(300));
                });
        try (Socket connection = server.accept()) {
            EndpointFixture.readRequest(connection);
        }
        assertEquals(
                "the connection ends after the request was sent",
                Outcome.RESET,
                nextResult().outcome());
    }

    /** Whether a retry may be written is checked again once its connection is established. */
    @Test
    public void anAttemptPastItsWriteDeadlineIsNotSentOnANewConnection() throws Exception {
        EndpointPool endpoints = endpoints(LONG_NS);
        loop.execute(
                () -> {
                    attempt(endpoints, LONG_NS, loop.now() + 100 * MS, "late", 4);
                    loop.execute(() -> sleep(300));
                });
        assertEquals(Outcome.NOT_SENT, nextResult().outcome());
        loop.execute(() -> attempt(endpoints, LONG_NS, Long.MAX_VALUE, "next", 4));
        try (Socket connection = server.accept()) {
            assertTrue(
                    "its connection carries the next request",
                    EndpointFixture.readRequest(connection).contains("next"));
        }
    }

    /** The same check on an idle connection, also for an attempt whose timeout has passed. */
    @Test
    public void anAttemptPastItsDeadlineIsNotSentOnAnIdleConnection() throws Exception {
        EndpointPool endpoints = endpoints(LONG_NS);
        loop.execute(() -> attempt(endpoints, LONG_NS));
        try (Socket connection = server.accept()) {
            EndpointFixture.readRequest(connection);
            write(connection, RESPONSE);
            assertEquals(Outcome.OK, nextResult().outcome());
            for (boolean byTimeout : new boolean[] {false, true}) {
                loop.execute(
                        () -> {
                            attempt(
                                    endpoints,
                                    byTimeout ? 100 * MS : LONG_NS,
                                    byTimeout ? Long.MAX_VALUE : loop.now() + 100 * MS,
                                    "late",
                                    4);
                            sleep(300); // the attempt starts after this task
                        });
                assertEquals(Outcome.NOT_SENT, nextResult().outcome());
            }
            loop.execute(() -> attempt(endpoints, LONG_NS, Long.MAX_VALUE, "next", 4));
            assertTrue(EndpointFixture.readRequest(connection).contains("next"));
        }
    }

    /**
     * A long request is written as fast as the endpoint reads, so its deadline may pass meanwhile.
     */
    @Test
    public void theRestOfARequestIsNotWrittenPastItsWriteDeadline() throws Exception {
        int length = 32 * 1024 * 1024; // more than the system buffers for a connection
        EndpointPool endpoints = endpoints(LONG_NS);
        loop.execute(() -> attempt(endpoints, LONG_NS, loop.now() + 500 * MS, "late", length));
        try (Socket connection = server.accept()) {
            sleep(700);
            assertTrue(connection.getInputStream().readAllBytes().length < length);
            assertEquals(Outcome.NOT_SENT, nextResult().outcome());
        }
    }

    /** Prevents requests from being held back because an idle endpoint looks overloaded. */
    @Test
    public void theLoopsDelayIsNotTheEndpointsLatency() throws Exception {
        EndpointPool endpoints = endpoints(LONG_NS);
        loop.execute(() -> attempt(endpoints, LONG_NS));
        try (Socket connection = server.accept()) {
            for (int i = 0; i < 2; i++) {
                EndpointFixture.readRequest(connection);
                boolean late = i > 0;
                loop.execute(
                        () -> {
                            write(connection, RESPONSE);
                            sleep(late ? 1000 : 0);
                        });
                AttemptResult result = nextResult();
                assertEquals(Outcome.OK, result.outcome());
                assertTrue("took " + result.latencyNs(), result.latencyNs() < 900 * MS);
                assertTrue("the first response's latency is known", late || result.latencyNs() > 0);
                sleep(REUSE_DELAY_MS);
                loop.execute(() -> attempt(endpoints, LONG_NS));
            }
        }
    }
}
