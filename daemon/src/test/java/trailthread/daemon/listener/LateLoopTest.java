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
 * No call that has come whole is lost because the loop runs late: its timers are due before it has
 * looked at its sockets. The tests hold the loop up, as a busy core does.
 */
public class LateLoopTest {
    private static final int MOST = 28;
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
    private static final EndpointResponse MADE =
            EndpointResponse.of("made".getBytes(StandardCharsets.US_ASCII));
    private static final long IDLE_LONG_ENOUGH_MS = 2_300;
    private final EventLoop loop;
    private final List<Socket> clients = new ArrayList<>();
    private HttpListener acceptor;
    private InetSocketAddress address;
    private final AtomicInteger lastId = new AtomicInteger();

    /** Lengths of the bodies of the calls taken, in their order. */
    private final List<Integer> taken = new CopyOnWriteArrayList<>();

    private final List<Long> deadlines = new CopyOnWriteArrayList<>();

    /** Takes the next call's reply, which is not made then; null: all are made at once. */
    private volatile CompletableFuture<ClientResponse> heldBack;

    public LateLoopTest() throws IOException {
        loop = new EventLoop("late");
    }

    @Before
    public void listen() throws Exception {
        acceptor =
                new HttpListener(
                        loop,
                        MOST,
                        MOST,
                        new PlatformFrontend(
                                List.of(USE),
                                new RequestHandler() {
                                    @Override
                                    public Runnable take(
                                            ClientRequest call,
                                            long deadline,
                                            ClientResponse reply) {
                                        taken.add(call.body().length);
                                        deadlines.add(deadline);
                                        if (heldBack == null || !heldBack.complete(reply)) {
                                            reply.served(MADE);
                                        }
                                        return () -> {};
                                    }

                                    @Override
                                    public boolean isOpen(String id) {
                                        return false;
                                    }
                                }),
                        MetricsRecorder.OFF);
        address = acceptor.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @After
    public void end() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        loop.worker().shutdownNow();
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

    /** The head of an answer with its body of four letters; fails if the connection ends before. */
    private static String answer(Socket client) throws IOException {
        InputStream in = client.getInputStream();
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith("\r\n\r\nmade")) {
            int b = in.read();
            assertTrue("ended after '" + text + "'", b >= 0);
            text.append((char) b);
        }
        return text.toString();
    }

    /** Runs a task with the loop held up, which then goes on with its timers. */
    private void whileHeldUp(long atLeastMs, Work work) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        loop.execute(
                () -> {
                    held.countDown();
                    try {
                        goOn.await(60, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        held.await();
        long until = System.nanoTime() + atLeastMs * 1_000_000;
        work.run();
        Thread.sleep(Math.max(0, until - System.nanoTime()) / 1_000_000 + 1);
        goOn.countDown();
    }

    private interface Work {
        void run() throws Exception;
    }

    /** It was dropped with the connection, which ended with the answer before. */
    @Test
    public void aCallThatLiesUnreadBehindTheLastAnswerIsAnswered() throws Exception {
        heldBack = new CompletableFuture<>();
        loop.execute(() -> acceptor.endWithAnswers(true));
        Socket client = connect();
        send(client);
        ClientResponse reply = heldBack.get(30, TimeUnit.SECONDS);
        whileHeldUp(
                0,
                () -> {
                    loop.execute(() -> reply.served(MADE)); // before the sockets are looked at
                    send(client);
                });
        assertFalse("there is another", answer(client).contains("Connection: close\r\n"));
        assertTrue("that was the last", answer(client).contains("Connection: close\r\n"));
    }

    /**
     * Its time began when the node came to read it: the client had long given up when its answer
     * came.
     */
    @Test
    public void aCallsTimeBeginsWhenItMayHaveComeNotWhenItIsRead() throws Exception {
        Socket client = connect();
        send(client);
        answer(client);
        deadlines.clear();
        long[] sentBy = new long[1];
        whileHeldUp(
                400,
                () -> {
                    send(client);
                    sentBy[0] = loop.now();
                });
        answer(client);
        assertTrue("no later than its client's", deadlines.get(0) <= sentBy[0] + 20_000_000_000L);
    }

    /**
     * After a long turn all quiet time passed for lateness: the call had lost it, and was refused
     * at once.
     */
    @Test
    public void aCallLosesNoTimeToTheQuietBeforeIt() throws Exception {
        Socket client = connect();
        send(client);
        answer(client);
        deadlines.clear();
        whileHeldUp(400, () -> {});
        Thread.sleep(500);
        long quiet =
                loop.now(); // the loop has looked at its sockets since the hold, and found nothing
        Thread.sleep(500);
        send(client);
        answer(client);
        assertTrue(
                "not before " + quiet + ": " + deadlines,
                deadlines.get(0) >= quiet + 20_000_000_000L);
    }

    /**
     * The long one was read until it ran dry, however long that was, and before some of the others
     * by chance.
     */
    @Test
    public void shortCallsDoNotWaitForALongBody() throws Exception {
        int length = 1024 * 1024;
        List<Socket> all = new ArrayList<>();
        for (int i = 0; i < MOST / 3; i++) {
            Socket client = connect();
            send(client);
            answer(client);
            all.add(client);
        }
        taken.clear();
        Thread upload =
                new Thread(
                        () -> {
                            try {
                                send(all.get(0), "x".repeat(length));
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        whileHeldUp(
                300,
                () -> {
                    upload.start();
                    Thread.sleep(200);
                    for (Socket client : all.subList(1, all.size())) {
                        send(client, "pour");
                    }
                });
        for (Socket client : all) {
            answer(client);
        }
        assertEquals("the long one is last: " + taken, all.size() - 1, taken.indexOf(length));
    }

    /** Closed for room, their calls ended in a reset: 3 of 27 did after a pause of 20 to 300 ms. */
    @Test
    public void keptConnectionsThatMakeRoomAreReadFirst() throws Exception {
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < MOST / 4; i++) {
            Socket client = connect();
            send(client);
            answer(client);
            kept.add(client);
        }
        whileHeldUp(
                IDLE_LONG_ENOUGH_MS,
                () -> {
                    for (Socket client : kept) {
                        send(client);
                    }
                    for (int i = 0; i < MOST - MOST / 4; i++) {
                        connect();
                    }
                });
        for (Socket client : kept) {
            assertNotNull(answer(client));
        }
    }

    @Test
    public void aFirstHeadThatWasInTimeIsRead() throws Exception {
        Socket client = connect();
        send(connect());
        Thread.sleep(100); // both are accepted
        whileHeldUp(IDLE_LONG_ENOUGH_MS, () -> send(client));
        assertNotNull(answer(client));
    }

    /** The rest of a message is owed within a time, too. */
    @Test
    public void aBodyThatWasInTimeIsRead() throws Exception {
        Socket client = connect();
        client.getOutputStream()
                .write(
                        ("POST /use HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: b"
                                        + "\r\nX-Service-Class: use\r\nX-Time-Left: 20\r\nContent-Length: 4\r\n\r\npo")
                                .getBytes(StandardCharsets.US_ASCII));
        Thread.sleep(200); // the head is read
        whileHeldUp(IDLE_LONG_ENOUGH_MS + 250, () -> client.getOutputStream().write(new byte[2]));
        assertNotNull(answer(client));
    }

    @Test
    public void atTheEndWhatHasComeIsServedFirst() throws Exception {
        Socket idle = connect();
        send(idle);
        answer(idle);
        CountDownLatch done = new CountDownLatch(1);
        List<Socket> callers = new ArrayList<>(List.of(idle));
        whileHeldUp(
                300,
                () -> {
                    loop.execute(() -> acceptor.endWithAnswers(true));
                    loop.execute(() -> acceptor.close(done::countDown));
                    send(idle);
                    for (int i = 0; i < 5; i++) {
                        Socket client = connect();
                        send(client);
                        callers.add(client);
                    }
                });
        for (Socket client : callers) {
            assertTrue(answer(client).contains("Connection: close\r\n"));
        }
        assertTrue("the end comes", done.await(30, TimeUnit.SECONDS));
    }

    /**
     * It came with the end of the first of them: what lay unread on the others was reset with the
     * process.
     */
    @Test
    public void theEndComesOnceNoConnectionIsLeft() throws Exception {
        for (int i = 0; i < 3; i++) {
            Socket idle = connect();
            send(idle);
            answer(idle);
        }
        CompletableFuture<Integer> left = new CompletableFuture<>();
        loop.execute(
                () ->
                        acceptor.close(
                                () ->
                                        left.complete(
                                                acceptor.connections().values().stream()
                                                        .mapToInt(Integer::intValue)
                                                        .sum())));
        assertEquals(0, (int) left.get(30, TimeUnit.SECONDS));
    }

    /** Closed at a last look that read their first part, both ended unanswered. */
    @Test
    public void atTheEndAHeadThatHasBegunHasTimeForItsRest() throws Exception {
        Socket kept = connect();
        send(kept);
        answer(kept);
        List<Socket> callers = List.of(kept, connect());
        for (Socket client : callers) {
            client.getOutputStream()
                    .write("POST /use HTTP/1.1\r\nHost: a\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        CountDownLatch closing = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> acceptor.endWithAnswers(true));
        loop.execute(
                () -> {
                    acceptor.endUnused();
                    acceptor.close(done::countDown);
                    closing.countDown();
                });
        closing.await();
        for (Socket client : callers) {
            client.getOutputStream()
                    .write(
                            ("X-Correlation-Id: h"
                                            + client.getLocalPort()
                                            + "\r\nX-Service-Class: use\r\nX-Time-Left: 20\r\n"
                                            + "Content-Length: 4\r\n\r\npour")
                                    .getBytes(StandardCharsets.US_ASCII));
            assertTrue(answer(client).contains("Connection: close\r\n"));
        }
        assertTrue("the end comes", done.await(30, TimeUnit.SECONDS));
    }

    /** Where many idle, a client that keeps its connection for good keeps others out. */
    @Test
    public void whereManyIdleAnswersEndTheirConnections() throws Exception {
        int most = (int) (0.3 * MOST);
        for (int idle = 0; idle <= most; idle++) {
            Socket client = connect();
            send(client);
            assertFalse(idle + " idle", answer(client).contains("Connection: close\r\n"));
        }
        Thread.sleep(200); // they are not in the middle of calls any more
        Socket client = connect();
        send(client);
        assertTrue(answer(client).contains("Connection: close\r\n"));
    }
}
