package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Test;
import trailthread.api.EndpointState;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.engine.discovery.DiscoveredEndpoint;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.http.ByteSink;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/** What an endpoint has done in time is not held against it because the loop runs late. */
public class LateLoopTest {
    private static final long MS = 1_000_000L;
    private static final long LONG_NS = 60_000 * MS;
    private static final int ROUNDS = 24;
    private final EventLoop loop;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<AttemptResult> endings = new LinkedBlockingQueue<>();

    public LateLoopTest() throws IOException {
        loop = new EventLoop("late");
    }

    @After
    public void end() throws IOException {
        loop.worker().shutdownNow();
        server.close();
    }

    private EndpointPool endpoints(long connectTimeoutNs) {
        EndpointPool endpoints =
                new EndpointPool(
                        loop,
                        connectTimeoutNs,
                        LONG_NS,
                        0,
                        ConnectionLimit.of(16),
                        500 * MS,
                        CpuAccount.NONE);
        loop.execute(
                () ->
                        endpoints.update(
                                new DiscoveryUpdate(
                                        1,
                                        true,
                                        List.of(
                                                new DiscoveredEndpoint(
                                                        "w",
                                                        "127.0.0.1:" + server.getLocalPort(),
                                                        "a",
                                                        0,
                                                        EndpointState.READY,
                                                        1,
                                                        0))),
                                loop.now()));
        return endpoints;
    }

    private void attempt(EndpointPool endpoints, long timeoutNs) {
        attempt(endpoints, timeoutNs, Long.MAX_VALUE, "1", 4);
    }

    private void attempt(
            EndpointPool endpoints, long timeoutNs, long writtenBy, String id, int length) {
        endpoints.attempt(
                "w",
                new EndpointRequest(id, "use", "POST", "/use", null, new byte[length], null),
                timeoutNs,
                writtenBy,
                endings::add);
    }

    private AttemptResult ending() throws InterruptedException {
        AttemptResult ending = endings.poll(30, TimeUnit.SECONDS);
        assertNotNull("the attempt ends", ending);
        return ending;
    }

    private static String readRequest(Socket connection) throws IOException {
        InputStream in = connection.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException("ended after '" + text + "'");
            }
            text.append((char) b);
        }
        in.readNBytes(4);
        return text.toString();
    }

    private static void answer(Socket connection) throws IOException {
        connection
                .getOutputStream()
                .write(
                        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
                                .getBytes(StandardCharsets.US_ASCII));
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Up to four attempts in a row at one endpoint ended so while their answers lay unread. */
    @Test
    public void anAnswerThatHasComeIsNoTimeOut() throws Exception {
        EndpointPool endpoints = endpoints(LONG_NS);
        loop.execute(() -> attempt(endpoints, 400 * MS));
        try (Socket connection = server.accept()) {
            readRequest(connection);
            loop.execute(
                    () -> {
                        try {
                            connection
                                    .getOutputStream()
                                    .write(
                                            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
                                                    .getBytes(StandardCharsets.US_ASCII));
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                        sleep(600); // the time-out is due before the sockets are looked at
                    });
            assertEquals(Outcome.OK, ending().outcome());
        }
    }

    /**
     * Its time began anew when an attempt came too late for it, and its endpoint closes it by its
     * own.
     */
    @Test
    public void aConnectionThatWasNotUsedAfterAllIdlesOn() throws Exception {
        EndpointPool endpoints =
                new EndpointPool(
                        loop,
                        LONG_NS,
                        1_000 * MS,
                        0,
                        ConnectionLimit.of(16),
                        500 * MS,
                        CpuAccount.NONE);
        loop.execute(
                () ->
                        endpoints.update(
                                new DiscoveryUpdate(
                                        1,
                                        true,
                                        List.of(
                                                new DiscoveredEndpoint(
                                                        "w",
                                                        "127.0.0.1:" + server.getLocalPort(),
                                                        "a",
                                                        0,
                                                        EndpointState.READY,
                                                        1,
                                                        0))),
                                loop.now()));
        loop.execute(() -> attempt(endpoints, LONG_NS));
        server.setSoTimeout(10_000);
        try (Socket first = server.accept()) {
            readRequest(first);
            answer(first);
            assertEquals(Outcome.OK, ending().outcome());
            loop.execute(
                    () -> {
                        sleep(500);
                        attempt(endpoints, LONG_NS, 1, "late", 4);
                        loop.execute(
                                () ->
                                        loop.execute(
                                                () -> { // after the late one's turn
                                                    sleep(500);
                                                    attempt(
                                                            endpoints,
                                                            LONG_NS,
                                                            Long.MAX_VALUE,
                                                            "2",
                                                            4);
                                                }));
                    });
            assertEquals(Outcome.NOT_SENT, ending().outcome());
            try (Socket second = server.accept()) {
                assertTrue(readRequest(second).contains("X-Correlation-Id: 2\r\n"));
            }
        }
    }

    /**
     * It was used on, as the sweep that drops it is a timer, and its endpoint may just have closed
     * it.
     */
    @Test
    public void aConnectionThatHasIdledPastItsTimeIsNotUsed() throws Exception {
        EndpointPool endpoints =
                new EndpointPool(
                        loop,
                        LONG_NS,
                        1_000 * MS,
                        0,
                        ConnectionLimit.of(16),
                        500 * MS,
                        CpuAccount.NONE);
        loop.execute(
                () ->
                        endpoints.update(
                                new DiscoveryUpdate(
                                        1,
                                        true,
                                        List.of(
                                                new DiscoveredEndpoint(
                                                        "w",
                                                        "127.0.0.1:" + server.getLocalPort(),
                                                        "a",
                                                        0,
                                                        EndpointState.READY,
                                                        1,
                                                        0))),
                                loop.now()));
        loop.execute(() -> attempt(endpoints, LONG_NS));
        server.setSoTimeout(10_000);
        try (Socket first = server.accept()) {
            readRequest(first);
            answer(first);
            assertEquals(Outcome.OK, ending().outcome());
            loop.execute(
                    () -> {
                        sleep(1_000);
                        attempt(endpoints, LONG_NS, Long.MAX_VALUE, "2", 4);
                    });
            try (Socket second = server.accept()) {
                assertTrue(readRequest(second).contains("X-Correlation-Id: 2\r\n"));
            }
        }
    }

    /**
     * A second answer may come on the one that was used last; the others have had theirs, if there
     * was any.
     */
    @Test
    public void aConnectionThatHasSettledIsPreferred() throws Exception {
        EndpointPool endpoints = endpoints(LONG_NS);
        loop.execute(
                () -> {
                    attempt(endpoints, LONG_NS);
                    attempt(endpoints, LONG_NS, Long.MAX_VALUE, "2", 4);
                });
        try (Socket one = server.accept();
                Socket other = server.accept()) {
            for (Socket connection : new Socket[] {one, other}) {
                readRequest(connection);
                answer(connection);
                assertEquals(Outcome.OK, ending().outcome());
            }
            int inTurn = 0;
            Socket last = null;
            for (int i = 0; i < ROUNDS; i++) {
                Thread.sleep(last == null ? 30 : 1); // both have settled, or the last one has not
                loop.execute(() -> attempt(endpoints, LONG_NS));
                Socket used = null;
                while (used == null) {
                    used =
                            one.getInputStream().available() > 0
                                    ? one
                                    : other.getInputStream().available() > 0 ? other : null;
                }
                readRequest(used);
                answer(used);
                assertEquals(Outcome.OK, ending().outcome());
                inTurn += last != null && used != last ? 1 : 0;
                last = last == null ? used : null;
            }
            // Where the machine held the loop up for longer, both had settled.
            assertTrue(inTurn + " of " + ROUNDS / 2, inTurn > ROUNDS / 3);
        }
    }

    /**
     * The look before a time-out found the beginning of a long answer, and the time-out then ended
     * it.
     */
    @Test
    public void aLongAnswerThatHasBegunIsNoTimeOut() throws Exception {
        int length = 100_000;
        EndpointPool endpoints = endpoints(LONG_NS);
        AtomicInteger passed = new AtomicInteger();
        loop.execute(
                () ->
                        endpoints.attempt(
                                "w",
                                new EndpointRequest(
                                        "1", "use", "POST", "/use", null, new byte[4], null),
                                400 * MS,
                                new AttemptListener() {
                                    @Override
                                    public ByteSink begins(
                                            EndpointResponse head,
                                            long told,
                                            LoadReport load,
                                            Runnable more) {
                                        return new ByteSink() {
                                            @Override
                                            public boolean piece(ByteBuffer piece) {
                                                passed.addAndGet(piece.remaining());
                                                return true;
                                            }

                                            @Override
                                            public void end() {
                                                passed.addAndGet(1);
                                            }

                                            @Override
                                            public void broken() {
                                                passed.set(-1);
                                            }
                                        };
                                    }

                                    @Override
                                    public void ended(AttemptResult ending) {
                                        endings.add(ending);
                                    }
                                }));
        try (Socket connection = server.accept()) {
            readRequest(connection);
            byte[] head =
                    ("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nx")
                            .getBytes(StandardCharsets.US_ASCII);
            loop.execute(
                    () -> {
                        try {
                            connection.getOutputStream().write(head);
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                        sleep(600);
                    });
            loop.execute(
                    () ->
                            loop.after(
                                    200 * MS,
                                    () -> {
                                        try {
                                            connection
                                                    .getOutputStream()
                                                    .write(new byte[length - 1]);
                                        } catch (IOException e) {
                                            throw new UncheckedIOException(e);
                                        }
                                    }));
            assertEquals(Outcome.OK, ending().outcome());
            assertEquals(length + 1, passed.get());
        }
    }

    @Test
    public void aConnectionThatHasComeUpIsNoFailure() throws Exception {
        EndpointPool endpoints = endpoints(100 * MS);
        loop.execute(
                () -> {
                    attempt(endpoints, LONG_NS);
                    loop.execute(() -> sleep(300));
                });
        try (Socket connection = server.accept()) {
            readRequest(connection);
        }
        assertEquals("its end comes after the request", Outcome.RESET, ending().outcome());
    }

    /** A repeat was judged when it was decided, and written whenever its connection was up. */
    @Test
    public void whatMayNoLongerBeWrittenOnceItsConnectionIsUpIsNot() throws Exception {
        EndpointPool endpoints = endpoints(LONG_NS);
        loop.execute(
                () -> {
                    attempt(endpoints, LONG_NS, loop.now() + 100 * MS, "late", 4);
                    loop.execute(() -> sleep(300));
                });
        assertEquals(Outcome.NOT_SENT, ending().outcome());
        loop.execute(() -> attempt(endpoints, LONG_NS, Long.MAX_VALUE, "next", 4));
        try (Socket connection = server.accept()) {
            assertTrue("its connection serves the next", readRequest(connection).contains("next"));
        }
    }

    /** The same on a connection that was there, and for an attempt whose own time has passed. */
    @Test
    public void whatMayNoLongerBeWrittenWhenItsTurnComesIsNot() throws Exception {
        EndpointPool endpoints = endpoints(LONG_NS);
        loop.execute(() -> attempt(endpoints, LONG_NS));
        try (Socket connection = server.accept()) {
            readRequest(connection);
            answer(connection);
            assertEquals(Outcome.OK, ending().outcome());
            for (boolean ofItsTime : new boolean[] {false, true}) {
                loop.execute(
                        () -> {
                            attempt(
                                    endpoints,
                                    ofItsTime ? 100 * MS : LONG_NS,
                                    ofItsTime ? Long.MAX_VALUE : loop.now() + 100 * MS,
                                    "late",
                                    4);
                            sleep(300); // it starts once this is over
                        });
                assertEquals(Outcome.NOT_SENT, ending().outcome());
            }
            loop.execute(() -> attempt(endpoints, LONG_NS, Long.MAX_VALUE, "next", 4));
            assertTrue(readRequest(connection).contains("next"));
        }
    }

    /** A long request is written as its endpoint takes it, so that its last byte may come late. */
    @Test
    public void theRestOfWhatMayNoLongerBeWrittenIsNot() throws Exception {
        int length = 32 * 1024 * 1024; // more than the system holds for a connection
        EndpointPool endpoints = endpoints(LONG_NS);
        loop.execute(() -> attempt(endpoints, LONG_NS, loop.now() + 500 * MS, "late", length));
        try (Socket connection = server.accept()) {
            sleep(700);
            assertTrue(connection.getInputStream().readAllBytes().length < length);
            assertEquals(Outcome.NOT_SENT, ending().outcome());
        }
    }

    /** Learnt as the endpoint's, it passed for jammed, and calls were held while it idled. */
    @Test
    public void theLoopsOwnTimeIsNotTheEndpoints() throws Exception {
        EndpointPool endpoints = endpoints(LONG_NS);
        loop.execute(() -> attempt(endpoints, LONG_NS));
        try (Socket connection = server.accept()) {
            for (int i = 0; i < 2; i++) {
                readRequest(connection);
                boolean late = i > 0;
                loop.execute(
                        () -> {
                            try {
                                connection
                                        .getOutputStream()
                                        .write(
                                                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
                                                        .getBytes(StandardCharsets.US_ASCII));
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                            sleep(late ? 1000 : 0);
                        });
                AttemptResult ending = ending();
                assertEquals(Outcome.OK, ending.outcome());
                assertTrue("took " + ending.latencyNs(), ending.latencyNs() < 900 * MS);
                assertTrue("the first is known", late || ending.latencyNs() > 0);
                sleep(20); // the connection is not used before it has settled
                loop.execute(() -> attempt(endpoints, LONG_NS));
            }
        }
    }
}
