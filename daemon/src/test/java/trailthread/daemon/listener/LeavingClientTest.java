package trailthread.daemon.listener;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Idempotency;
import trailthread.api.ListKind;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.engine.discovery.DiscoveredEndpoint;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.endpoint.ConnectionLimit;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.request.RequestDispatcher;
import trailthread.testkit.Message;
import trailthread.testkit.Peer;
import trailthread.testkit.Stage;

/** Clients that leave at each moment at which their call waits: it reaches no endpoint any more. */
public class LeavingClientTest {
    private static final long LONG_NS = 20_000_000_000L;
    private final EventLoop loop;
    private final Peer endpoint;
    private final Settings settings = new Settings();
    private RequestDispatcher calls;
    private EndpointPool endpoints;
    private HttpListener acceptor;
    private InetSocketAddress address;

    public LeavingClientTest() throws IOException {
        loop = new EventLoop("leaving");
        endpoint = Peer.serving("made");
    }

    @Before
    public void listen() throws Exception {
        settings.classes.add(
                new RequestClass(
                        "use",
                        LONG_NS,
                        0,
                        LONG_NS,
                        Idempotency.NOT_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0));
        endpoints =
                new EndpointPool(
                        loop, LONG_NS, LONG_NS, 0, ConnectionLimit.of(8), 0, CpuAccount.NONE);
        calls = new RequestDispatcher(loop, endpoints, settings, 1, MetricsRecorder.OFF);
        acceptor =
                new HttpListener(
                        loop,
                        28,
                        28,
                        new PlatformFrontend(settings.classes, calls),
                        MetricsRecorder.OFF);
        address = acceptor.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        loop.execute(
                () ->
                        endpoints.update(
                                new DiscoveryUpdate(
                                        1,
                                        true,
                                        List.of(
                                                new DiscoveredEndpoint(
                                                        "w",
                                                        endpoint.hostPort(),
                                                        "a",
                                                        0,
                                                        EndpointState.READY,
                                                        1,
                                                        0))),
                                loop.now()));
        loop.execute(this::list);
        onlyOneWhoStaysIsServed(); // a connection to the endpoint is open from now on: the next
        // call
        // is written at once
        loop.execute(this::listNone);
    }

    @After
    public void end() throws IOException {
        endpoint.close();
        loop.worker().shutdownNow();
    }

    private Socket connect() throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(1000 * Peer.LONGEST_WAIT_S);
        return client;
    }

    /** The module knows the endpoint, which what is held waits for. To be called on the loop. */
    private void list() {
        calls.list(
                ListKind.FULL, List.of(new EndpointEntry("w", 1, EndpointState.READY, "a", 0, 0)));
    }

    /** The module knows no endpoint: what comes is held. To be called on the loop. */
    private void listNone() {
        calls.list(ListKind.FULL, List.of());
    }

    /** Waits until so many calls are taken. */
    private void awaitTaken(String... ids) throws Exception {
        for (String id : ids) {
            for (boolean taken = false; !taken; ) {
                CountDownLatch looked = new CountDownLatch(1);
                boolean[] open = new boolean[1];
                loop.execute(
                        () -> {
                            open[0] = calls.isOpen(id);
                            looked.countDown();
                        });
                Peer.await(looked);
                taken = open[0];
            }
        }
    }

    private static String id(String request) {
        return request.split("X-Correlation-Id: ")[1].split("\r\n")[0];
    }

    /** Another client's call is served, and was the first that the endpoint saw. */
    private void onlyOneWhoStaysIsServed() throws Exception {
        try (Socket stays = connect()) {
            String request = Stage.request("use", "?stays", "");
            Message.send(stays, request);
            assertEquals("made", Message.read(stays).body());
            assertEquals(id(request), endpoint.asked().header("X-Correlation-Id"));
            endpoint.wasNotAsked();
        }
        Thread.sleep(20); // the connection to the endpoint is not used before it has settled
    }

    /** It was found with the call, and the call was sent on all the same. */
    @Test
    public void whoLeavesUnreadIsNotServed() throws Exception {
        CountDownLatch goOn = new CountDownLatch(1);
        loop.execute(this::list);
        loop.execute(() -> Peer.await(goOn));
        Socket client = connect();
        Message.send(client, Stage.request("use", "", ""));
        client.close();
        goOn.countDown();
        onlyOneWhoStaysIsServed();
    }

    /** What a timer or the list brings comes before the sockets are looked at. */
    @Test
    public void whoLeavesBeforeALateLoopLooksIsNotServed() throws Exception {
        for (boolean resets : new boolean[] {false, true}) {
            Socket client = connect();
            String request = Stage.request("use", "", "");
            Message.send(client, request);
            awaitTaken(id(request));
            CountDownLatch goOn = new CountDownLatch(1);
            loop.execute(() -> Peer.await(goOn));
            loop.execute(this::list); // next, whatever has come
            client.setSoLinger(resets, 0);
            client.close();
            goOn.countDown();
            onlyOneWhoStaysIsServed();
            loop.execute(this::listNone);
        }
    }

    /** Past the first byte sent ahead nothing was read, and the end not seen. */
    @Test
    public void whoLeavesBehindFurtherBytesIsNotServed() throws Exception {
        for (String bytes :
                new String[] {"x", Stage.request("use", "?next", ""), "x".repeat(100_000)}) {
            Socket client = connect();
            String request = Stage.request("use", "", "");
            Message.send(client, request);
            awaitTaken(id(request));
            Message.send(client, bytes);
            loop.execute(
                    () -> loop.afterSockets(() -> {})); // the bytes are read apart from the end
            awaitTaken(id(request));
            client.close();
            loop.execute(() -> loop.afterSockets(this::list));
            onlyOneWhoStaysIsServed();
            loop.execute(this::listNone);
        }
    }

    /** It left during the first attempt, and what would be the second had not begun. */
    @Test
    public void whoLeavesBetweenAttemptsIsNotServedAgain() throws Exception {
        CountDownLatch turnedAway = new CountDownLatch(1);
        endpoint.setScript(
                request -> {
                    Peer.await(turnedAway);
                    endpoint.setScript(next -> next.answer("200 OK", "", "made"));
                    request.answer("503 Busy", "X-Unprocessed: 1\r\n", "");
                });
        Socket client = connect();
        String request = Stage.request("use", "", "");
        loop.execute(this::list);
        Message.send(client, request);
        assertEquals(id(request), endpoint.asked().header("X-Correlation-Id"));
        CountDownLatch goOn = new CountDownLatch(1);
        loop.execute(() -> Peer.await(goOn));
        client.close();
        turnedAway.countDown();
        goOn.countDown();
        onlyOneWhoStaysIsServed();
    }

    /** Its connection to the endpoint came up after it had left. */
    @Test
    public void whoLeavesDuringAConnectIsNotServed() throws Exception {
        CountDownLatch goOn = new CountDownLatch(1);
        Socket client = connect();
        String request = Stage.request("use", "", "");
        Message.send(client, request);
        awaitTaken(id(request));
        loop.execute(
                () -> {
                    endpoints.closeIdle(1);
                    list(); // it is decided on, and connects
                    loop.execute(() -> Peer.await(goOn)); // the connect comes up meanwhile
                });
        client.close();
        goOn.countDown();
        onlyOneWhoStaysIsServed();
    }

    @Test
    public void whoLeavesWithHalfABodyIsNeverTaken() throws Exception {
        Socket client = connect();
        String request = Stage.request("use", "", "");
        Message.send(client, request.substring(0, request.length() - 2));
        loop.execute(this::list);
        client.close();
        onlyOneWhoStaysIsServed();
    }

    /** What came behind a call took the place of what had come along with it. */
    @Test
    public void aCallSentAheadInPiecesIsWhole() throws Exception {
        try (Socket client = connect()) {
            String first = Stage.request("use", "?1", "");
            String ahead = Stage.request("use", "?2", "");
            Message.send(client, first + ahead.substring(0, 40));
            awaitTaken(id(first));
            for (int at = 40; at < ahead.length(); at += 40) {
                Message.send(client, ahead.substring(at, Math.min(ahead.length(), at + 40)));
                awaitTaken(id(first));
            }
            loop.execute(this::list);
            assertEquals("made", Message.read(client).body());
            assertEquals("made", Message.read(client).body());
            assertEquals(id(first), endpoint.asked().header("X-Correlation-Id"));
            assertEquals(id(ahead), endpoint.asked().header("X-Correlation-Id"));
        }
    }

    /**
     * Past 16 KiB it was read and dropped, whole calls among it, and the connection ended with the
     * first answer.
     */
    @Test
    public void callsSentAheadAreAllAnsweredInTheirOrder() throws Exception {
        for (int count : new int[] {300, 3_000}) { // some 50 KB, and more than is held at a time
            try (Socket client = connect()) {
                List<String> calls =
                        Stream.generate(() -> Stage.request("use", "?ahead", ""))
                                .limit(count)
                                .toList();
                Message.send(client, calls.get(0));
                awaitTaken(id(calls.get(0)));
                Thread sends = new Thread(() -> sendAll(client, calls.subList(1, count)));
                sends.start();
                loop.execute(() -> loop.after(100_000_000L, this::list));
                for (String call : calls) {
                    assertEquals("made", Message.read(client).body());
                    assertEquals(id(call), endpoint.asked().header("X-Correlation-Id"));
                }
                sends.join();
            }
            loop.execute(this::listNone);
        }
    }

    private static void sendAll(Socket client, List<String> calls) {
        try {
            Message.send(client, String.join("", calls));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * An answer that says that it is the last one took whole calls with it that had come behind its
     * own.
     */
    @Test
    public void theLastAnswerIsTheLastCallsWhereSomeAreSentAhead() throws Exception {
        loop.execute(() -> acceptor.endWithAnswers(true));
        try (Socket client = connect()) {
            String first = Stage.request("use", "?1", "");
            Message.send(
                    client,
                    first + Stage.request("use", "?2", "") + Stage.request("use", "?3", ""));
            awaitTaken(id(first));
            loop.execute(this::list);
            for (String last : new String[] {null, null, "close"}) {
                Message answer = Message.read(client);
                assertEquals("made", answer.body());
                assertEquals(last, answer.header("Connection"));
            }
            assertNull(Message.read(client));
        }
    }

    /**
     * What is no call is answered at once, and its answer ended the connection, whole calls behind
     * it or not.
     */
    @Test
    public void theLastAnswerIsTheLastCallsBehindWhatIsNoCall() throws Exception {
        RequestFrontend calls = new PlatformFrontend(settings.classes, this.calls);
        acceptor.setFront(
                new RequestFrontend() {
                    @Override
                    public String readyPath() {
                        return calls.readyPath();
                    }

                    @Override
                    public DecodedHead decode(HttpServerExchange exchange) {
                        return exchange.getRequestURI().equals("/nowhere")
                                ? DecodedHead.rejected(RejectionReason.NO_ROUTE)
                                : calls.decode(exchange);
                    }
                });
        loop.execute(() -> acceptor.endWithAnswers(true));
        loop.execute(this::list);
        for (String path : new String[] {"/ready", "/nowhere"}) {
            try (Socket client = connect()) {
                String noCall = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
                Message.send(client, noCall + Stage.request("use", "", "") + noCall);
                assertNull(Message.read(client).header("Connection"));
                assertEquals("made", Message.read(client).body());
                assertEquals("close", Message.read(client).header("Connection"));
                assertNull(Message.read(client));
            }
        }
    }
}
