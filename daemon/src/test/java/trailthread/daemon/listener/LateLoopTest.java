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
 * No complete request is lost because the loop runs late, and its timers run before it has looked
 * at its sockets. The tests block the loop, as a busy core does.
 */
public class LateLoopTest {
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
    private static final long MIN_KEEP_ALIVE_MS = 2_300;
    private final EventLoop loop;
    private final List<Socket> clients = new ArrayList<>();
    private HttpListener listener;
    private InetSocketAddress address;
    private final AtomicInteger lastId = new AtomicInteger();

    /** The lengths of the requests' bodies, in the order in which the requests were received. */
    private final List<Integer> bodyLengths = new CopyOnWriteArrayList<>();

    private final List<Long> deadlines = new CopyOnWriteArrayList<>();

    /** Gets the next request's response to be sent later; null if all are sent at once. */
    private volatile CompletableFuture<ClientResponse> heldBack;

    public LateLoopTest() throws IOException {
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
                                        if (heldBack == null || !heldBack.complete(response)) {
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

    /** Runs a task while the loop is blocked, which then runs its timers first. */
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

    /** The connection ended with the response before, and the unread request with it. */
    @Test
    public void aCallThatLiesUnreadBehindTheLastAnswerIsAnswered() throws Exception {
        heldBack = new CompletableFuture<>();
        loop.execute(() -> listener.closeAfterResponse(true));
        Socket client = connect();
        send(client);
        ClientResponse response = heldBack.get(30, TimeUnit.SECONDS);
        whileLoopIsBlocked(
                0,
                () -> {
                    loop.execute(() -> response.respond(RESPONSE)); // before the sockets are read
                    send(client);
                });
        assertFalse("another request follows", readResponse(client).contains(CONNECTION_CLOSE));
        assertTrue("this is the last", readResponse(client).contains(CONNECTION_CLOSE));
    }

    /** Its time began when the node read it, and its client had given up before the response. */
    @Test
    public void aCallsTimeBeginsWhenItMayHaveComeNotWhenItIsRead() throws Exception {
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
        assertTrue("no later than its client's", deadlines.get(0) <= sentBy[0] + 20_000_000_000L);
    }

    /**
     * After a long turn of the loop, all idle time was taken for lateness. The request lost that
     * time, and was rejected at once.
     */
    @Test
    public void aCallLosesNoTimeToTheQuietBeforeIt() throws Exception {
        Socket client = connect();
        send(client);
        readResponse(client);
        deadlines.clear();
        whileLoopIsBlocked(400, () -> {});
        Thread.sleep(500);
        long quiet = loop.now(); // the loop has looked at its sockets since it was blocked
        Thread.sleep(500);
        send(client);
        readResponse(client);
        assertTrue(
                "not before " + quiet + ": " + deadlines,
                deadlines.get(0) >= quiet + 20_000_000_000L);
    }

    /** The long body was read as long as bytes came, and so before some of the other requests. */
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
                "the long one is last: " + bodyLengths,
                all.size() - 1,
                bodyLengths.indexOf(length));
    }

    /** They were closed with their requests unread, and the clients saw a reset. */
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
                MIN_KEEP_ALIVE_MS,
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
    public void aFirstHeadThatCameInTimeIsServed() throws Exception {
        Socket client = connect();
        send(connect());
        Thread.sleep(100); // both are accepted
        whileLoopIsBlocked(MIN_KEEP_ALIVE_MS, () -> send(client));
        assertNotNull(readResponse(client));
    }

    /** The rest of a message has a timeout, too. */
    @Test
    public void aBodyThatCameInTimeIsServed() throws Exception {
        Socket client = connect();
        client.getOutputStream()
                .write(
                        ("POST /use HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: b"
                                        + "\r\nX-Service-Class: use\r\nX-Time-Left: 20\r\nContent-Length: 4\r\n\r\npo")
                                .getBytes(StandardCharsets.US_ASCII));
        Thread.sleep(200); // the head is read
        whileLoopIsBlocked(
                MIN_KEEP_ALIVE_MS + 250, () -> client.getOutputStream().write(new byte[2]));
        assertNotNull(readResponse(client));
    }

    @Test
    public void onCloseRequestsThatHaveComeAreServedFirst() throws Exception {
        Socket idle = connect();
        send(idle);
        readResponse(idle);
        CountDownLatch done = new CountDownLatch(1);
        List<Socket> requesters = new ArrayList<>(List.of(idle));
        whileLoopIsBlocked(
                300,
                () -> {
                    loop.execute(() -> listener.closeAfterResponse(true));
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
        assertTrue("all connections have ended", done.await(30, TimeUnit.SECONDS));
    }

    /**
     * The end was reported when the first of them had ended, and requests that lay unread on the
     * others were reset with the process.
     */
    @Test
    public void closeIsDoneOnceNoConnectionIsOpen() throws Exception {
        for (int i = 0; i < 3; i++) {
            Socket idle = connect();
            send(idle);
            readResponse(idle);
        }
        CompletableFuture<Integer> left = new CompletableFuture<>();
        loop.execute(
                () ->
                        listener.close(
                                () ->
                                        left.complete(
                                                listener.connectionsByState().values().stream()
                                                        .mapToInt(Integer::intValue)
                                                        .sum())));
        assertEquals(0, (int) left.get(30, TimeUnit.SECONDS));
    }

    /** Both were closed after the last read, which had read the first part of their heads. */
    @Test
    public void onCloseAHeadThatHasBegunHasTimeForItsRest() throws Exception {
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
        loop.execute(() -> listener.closeAfterResponse(true));
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
        assertTrue("all connections have ended", done.await(30, TimeUnit.SECONDS));
    }

    /**
     * Where many connections are idle, a client that keeps its own prevents others from connecting.
     */
    @Test
    public void whereManyAreIdleResponsesEndTheirConnections() throws Exception {
        int maxIdle = (int) (0.3 * MAX_CONNECTIONS);
        for (int idle = 0; idle <= maxIdle; idle++) {
            Socket client = connect();
            send(client);
            assertFalse(idle + " idle", readResponse(client).contains(CONNECTION_CLOSE));
        }
        Thread.sleep(200); // they have been idle for long enough to count
        Socket client = connect();
        send(client);
        assertTrue(readResponse(client).contains(CONNECTION_CLOSE));
    }
}
