package trailthread.daemon.listener;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;
import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;
import trailthread.engine.request.RequestHandler;

/**
 * No complete request is lost when the loop runs late. A late loop runs its timers before it reads
 * its sockets, so it may time out or close connections with unread requests. The tests block the
 * loop, as a busy core does.
 */
public class LateLoopListenerTest {
    private static final int MAX_CONNECTIONS = 28;
    private static final String CONNECTION_CLOSE = "Connection: close\r\n";
    private static final RequestClass USE =
            new RequestClass(
                    "use",
                    10_000_000_000L,
                    0,
                    20_000_000_000L,
                    Idempotency.NOT_IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    1,
                    0);
    private static final EndpointResponse RESPONSE =
            EndpointResponse.of("made".getBytes(StandardCharsets.US_ASCII));

    /** Longer than the minimum keep-alive time, shorter than the timeout of a head. */
    private static final long BLOCKED_MS = 2_300;

    private final EventLoop loop;
    private final List<Socket> clients = new ArrayList<>();
    private HttpListener listener;
    private InetSocketAddress address;
    private final AtomicInteger lastId = new AtomicInteger();

    /** The lengths of the requests' bodies, in the order of their receipt. */
    private final List<Integer> bodyLengths = new CopyOnWriteArrayList<>();

    private final List<Long> deadlines = new CopyOnWriteArrayList<>();

    /** Gets the next request's response for the test to send; null if all are sent at once. */
    private volatile CompletableFuture<ClientResponse> heldResponse;

    public LateLoopListenerTest() throws IOException {
        loop = new EventLoop("late");
    }

    @Before
    public void listen() throws Exception {
        listener =
                new HttpListener(
                        loop,
                        MAX_CONNECTIONS,
                        MAX_CONNECTIONS,
                        new PlatformFrontend(
                                List.of(USE),
                                new RequestHandler() {
                                    @Override
                                    public Runnable handle(
                                            ClientRequest request,
                                            long deadline,
                                            ClientResponse response) {
                                        bodyLengths.add(request.body().length);
                                        deadlines.add(deadline);
                                        if (heldResponse == null
                                                || !heldResponse.complete(response)) {
                                            response.respond(RESPONSE);
                                        }
                                        return () -> {};
                                    }

                                    @Override
                                    public boolean isOpen(String id) {
                                        return false;
                                    }
                                }),
                        MetricsRecorder.OFF);
        address = listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @After
    public void end() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        loop.xnioWorker().shutdownNow();
    }

    private Socket connect() throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(30_000);
        clients.add(client);
        return client;
    }

    private void send(Socket client) throws IOException {
        send(client, "pour");
    }

    private void send(Socket client, String body) throws IOException {
        client.getOutputStream()
                .write(
                        ("POST /use HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: "
                                        + lastId.incrementAndGet()
                                        + "\r\nX-Service-Class: use\r\nX-Time-Left: 20\r\nContent-Length: "
                                        + body.length()
                                        + "\r\n\r\n"
                                        + body)
                                .getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads one response, head and body; fails if the connection is closed before its end. */
    private static String readResponse(Socket client) throws IOException {
        InputStream in = client.getInputStream();
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith("\r\n\r\nmade")) {
            int b = in.read();
            assertTrue("ended after '" + text + "'", b >= 0);
            text.append((char) b);
        }
        return text.toString();
    }

    /** Runs a task while the loop is blocked. Unblocked, the loop runs its timers first. */
    private void whileLoopIsBlocked(long atLeastMs, Task task) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        loop.execute(
                () -> {
                    blocked.countDown();
                    try {
                        unblock.await(60, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        blocked.await();
        long until = System.nanoTime() + atLeastMs * 1_000_000;
        task.run();
        Thread.sleep(Math.max(0, until - System.nanoTime()) / 1_000_000 + 1);
        unblock.countDown();
    }

    private interface Task {
        void run() throws Exception;
    }

    /**
     * Guards against closing the connection after the previous response while the next request is
     * unread, and so losing that request.
     */
    @Test
    public void unreadRequestBehindTheLastResponseIsServed() throws Exception {
        heldResponse = new CompletableFuture<>();
        loop.execute(() -> listener.setCloseAfterResponse(true));
        Socket client = connect();
        send(client);
        ClientResponse response = heldResponse.get(30, TimeUnit.SECONDS);
        whileLoopIsBlocked(
                0,
                () -> {
                    loop.execute(() -> response.respond(RESPONSE)); // before the sockets are read
                    send(client);
                });
        assertFalse("another request is unread", readResponse(client).contains(CONNECTION_CLOSE));
        assertTrue("no further request is unread", readResponse(client).contains(CONNECTION_CLOSE));
    }

    /**
     * Guards against counting the deadline from the read: the client then gave up before the
     * response.
     */
    @Test
    public void deadlineCountsFromPossibleArrivalNotFromRead() throws Exception {
        Socket client = connect();
        send(client);
        readResponse(client);
        deadlines.clear();
        long[] sentBy = new long[1];
        whileLoopIsBlocked(
                400,
                () -> {
                    send(client);
                    sentBy[0] = loop.now();
                });
        readResponse(client);
        assertTrue(
                "the deadline is no later than the client's",
                deadlines.get(0) <= sentBy[0] + 20_000_000_000L);
    }

    /**
     * Guards against counting idle time after a long pass of the loop as lateness: the deadline was
     * then so early that the request was rejected at once.
     */
    @Test
    public void idleTimeBeforeARequestDoesNotShortenItsDeadline() throws Exception {
        Socket client = connect();
        send(client);
        readResponse(client);
        deadlines.clear();
        whileLoopIsBlocked(400, () -> {});
        Thread.sleep(500);
        long idleAt = loop.now(); // the loop has polled its sockets since it was blocked
        Thread.sleep(500);
        send(client);
        readResponse(client);
        assertTrue(
                "not counted from before " + idleAt + ": " + deadlines,
                deadlines.get(0) >= idleAt + 20_000_000_000L);
    }

    /**
     * Guards against reading a long body for as long as bytes arrive, and so before other requests.
     */
    @Test
    public void shortRequestsDoNotWaitForALongBody() throws Exception {
        int length = 1024 * 1024;
        List<Socket> all = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS / 3; i++) {
            Socket client = connect();
            send(client);
            readResponse(client);
            all.add(client);
        }
        bodyLengths.clear();
        Thread upload =
                new Thread(
                        () -> {
                            try {
                                send(all.get(0), "x".repeat(length));
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        whileLoopIsBlocked(
                300,
                () -> {
                    upload.start();
                    Thread.sleep(200);
                    for (Socket client : all.subList(1, all.size())) {
                        send(client, "pour");
                    }
                });
        for (Socket client : all) {
            readResponse(client);
        }
        assertEquals(
                "the long body is complete last: " + bodyLengths,
                all.size() - 1,
                bodyLengths.indexOf(length));
    }

    /** Guards against closing idle connections with unread requests, which resets them. */
    @Test
    public void idleConnectionsAreReadBeforeTheyAreClosed() throws Exception {
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS / 4; i++) {
            Socket client = connect();
            send(client);
            readResponse(client);
            kept.add(client);
        }
        whileLoopIsBlocked(
                BLOCKED_MS,
                () -> {
                    for (Socket client : kept) {
                        send(client);
                    }
                    for (int i = 0; i < MAX_CONNECTIONS - MAX_CONNECTIONS / 4; i++) {
                        connect();
                    }
                });
        for (Socket client : kept) {
            assertNotNull(readResponse(client));
        }
    }

    @Test
    public void aFirstHeadThatArrivedInTimeIsServed() throws Exception {
        Socket client = connect();
        send(connect());
        Thread.sleep(100); // both are accepted
        whileLoopIsBlocked(BLOCKED_MS, () -> send(client));
        assertNotNull(readResponse(client));
    }

    /** The body has a timeout of its own, after the head's. */
    @Test
    public void aBodyThatArrivedInTimeIsServed() throws Exception {
        Socket client = connect();
        client.getOutputStream()
                .write(
                        ("POST /use HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: b"
                                        + "\r\nX-Service-Class: use\r\nX-Time-Left: 20\r\nContent-Length: 4\r\n\r\npo")
                                .getBytes(StandardCharsets.US_ASCII));
        Thread.sleep(200); // the head is read
        whileLoopIsBlocked(BLOCKED_MS + 250, () -> client.getOutputStream().write(new byte[2]));
        assertNotNull(readResponse(client));
    }

    @Test
    public void onCloseArrivedRequestsAreServedFirst() throws Exception {
        Socket idle = connect();
        send(idle);
        readResponse(idle);
        CountDownLatch done = new CountDownLatch(1);
        List<Socket> requesters = new ArrayList<>(List.of(idle));
        whileLoopIsBlocked(
                300,
                () -> {
                    loop.execute(() -> listener.setCloseAfterResponse(true));
                    loop.execute(() -> listener.close(done::countDown));
                    send(idle);
                    for (int i = 0; i < 5; i++) {
                        Socket client = connect();
                        send(client);
                        requesters.add(client);
                    }
                });
        for (Socket client : requesters) {
            assertTrue(readResponse(client).contains(CONNECTION_CLOSE));
        }
        assertTrue("all connections are closed", done.await(30, TimeUnit.SECONDS));
    }

    /**
     * Guards against reporting the end after the first connection: the process then ended, and
     * reset the others with unread requests.
     */
    @Test
    public void closeIsDoneOnceNoConnectionIsOpen() throws Exception {
        for (int i = 0; i < 3; i++) {
            Socket idle = connect();
            send(idle);
            readResponse(idle);
        }
        CompletableFuture<Integer> openConnections = new CompletableFuture<>();
        loop.execute(
                () ->
                        listener.close(
                                () ->
                                        openConnections.complete(
                                                listener.connectionsByState().values().stream()
                                                        .mapToInt(Integer::intValue)
                                                        .sum())));
        assertEquals(0, (int) openConnections.get(30, TimeUnit.SECONDS));
    }

    /** Guards against closing connections after reading a part of a head. */
    @Test
    public void onCloseAPartialHeadHasTimeToComplete() throws Exception {
        Socket kept = connect();
        send(kept);
        readResponse(kept);
        List<Socket> requesters = List.of(kept, connect());
        for (Socket client : requesters) {
            client.getOutputStream()
                    .write("POST /use HTTP/1.1\r\nHost: a\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        CountDownLatch closing = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> listener.setCloseAfterResponse(true));
        loop.execute(
                () -> {
                    listener.closeUnused();
                    listener.close(done::countDown);
                    closing.countDown();
                });
        closing.await();
        for (Socket client : requesters) {
            client.getOutputStream()
                    .write(
                            ("X-Correlation-Id: h"
                                            + client.getLocalPort()
                                            + "\r\nX-Service-Class: use\r\nX-Time-Left: 20\r\n"
                                            + "Content-Length: 4\r\n\r\npour")
                                    .getBytes(StandardCharsets.US_ASCII));
            assertTrue(readResponse(client).contains(CONNECTION_CLOSE));
        }
        assertTrue("all connections are closed", done.await(30, TimeUnit.SECONDS));
    }

    /** If clients kept many idle connections open, others could not connect. */
    @Test
    public void whereManyAreIdleResponsesEndTheirConnections() throws Exception {
        int maxIdle = (int) (0.3 * MAX_CONNECTIONS);
        for (int idle = 0; idle <= maxIdle; idle++) {
            Socket client = connect();
            send(client);
            assertFalse(idle + " idle", readResponse(client).contains(CONNECTION_CLOSE));
        }
        Thread.sleep(200); // the connections have been idle for long enough to count
        Socket client = connect();
        send(client);
        assertTrue(readResponse(client).contains(CONNECTION_CLOSE));
    }
}
