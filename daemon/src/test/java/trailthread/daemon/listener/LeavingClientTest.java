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
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/**
 * Clients that disconnect at each moment at which their request waits: it is not forwarded to an
 * endpoint any more.
 */
public class LeavingClientTest {
    private static final long LONG_NS = 20_000_000_000L;
    private final EventLoop loop;
    private final ScriptedServer endpoint;
    private final Settings settings = new Settings();
    private RequestDispatcher dispatcher;
    private EndpointPool endpoints;
    private HttpListener listener;
    private InetSocketAddress address;

    public LeavingClientTest() throws IOException {
        loop = new EventLoop("leaving");
        endpoint = ScriptedServer.respondingWith("made");
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
        dispatcher = new RequestDispatcher(loop, endpoints, settings, 1, MetricsRecorder.OFF);
        listener =
                new HttpListener(
                        loop,
                        28,
                        28,
                        new PlatformFrontend(settings.classes, dispatcher),
                        MetricsRecorder.OFF);
        address = listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
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
        // Leaves a connection to the endpoint open, to which the next request is written at once.
        onlyOneWhoStaysIsServed();
        loop.execute(this::listNone);
    }

    @After
    public void end() throws IOException {
        endpoint.close();
        loop.xnioWorker().shutdownNow();
    }

    private Socket connect() throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(1000 * ScriptedServer.TIMEOUT_S);
        return client;
    }

    /** Lists the endpoint, for which queued requests wait. To be called on the loop's thread. */
    private void list() {
        dispatcher.updateEndpointList(
                ListKind.FULL, List.of(new EndpointEntry("w", 1, EndpointState.READY, "a", 0, 0)));
    }

    /** Lists no endpoint, so that requests are queued. To be called on the loop's thread. */
    private void listNone() {
        dispatcher.updateEndpointList(ListKind.FULL, List.of());
    }

    /** Waits until the requests with these ids are in flight. */
    private void awaitInFlight(String... ids) throws Exception {
        for (String id : ids) {
            for (boolean inFlight = false; !inFlight; ) {
                CountDownLatch looked = new CountDownLatch(1);
                boolean[] open = new boolean[1];
                loop.execute(
                        () -> {
                            open[0] = dispatcher.isOpen(id);
                            looked.countDown();
                        });
                ScriptedServer.await(looked);
                inFlight = open[0];
            }
        }
    }

    private static String id(String request) {
        return request.split("X-Correlation-Id: ")[1].split("\r\n")[0];
    }

    /** Another client's request is served, and is the first that the endpoint has received. */
    private void onlyOneWhoStaysIsServed() throws Exception {
        try (Socket stays = connect()) {
            String request = TestCluster.requestText("use", "?stays", "");
            Message.send(stays, request);
            assertEquals("made", Message.read(stays).body());
            assertEquals(id(request), endpoint.takeRequest().header("X-Correlation-Id"));
            endpoint.assertNoMoreRequests();
        }
        Thread.sleep(20); // the connection to the endpoint is not used before it has settled
    }

    /** The end was read together with the request, which was forwarded all the same. */
    @Test
    public void whoLeavesUnreadIsNotServed() throws Exception {
        CountDownLatch goOn = new CountDownLatch(1);
        loop.execute(this::list);
        loop.execute(() -> ScriptedServer.await(goOn));
        Socket client = connect();
        Message.send(client, TestCluster.requestText("use", "", ""));
        client.close();
        goOn.countDown();
        onlyOneWhoStaysIsServed();
    }

    /** Timers and list updates are handled before the sockets are read. */
    @Test
    public void whoLeavesBeforeALateLoopLooksIsNotServed() throws Exception {
        for (boolean resets : new boolean[] {false, true}) {
            Socket client = connect();
            String request = TestCluster.requestText("use", "", "");
            Message.send(client, request);
            awaitInFlight(id(request));
            CountDownLatch goOn = new CountDownLatch(1);
            loop.execute(() -> ScriptedServer.await(goOn));
            loop.execute(this::list); // runs before the sockets are read
            client.setSoLinger(resets, 0);
            client.close();
            goOn.countDown();
            onlyOneWhoStaysIsServed();
            loop.execute(this::listNone);
        }
    }

    /** After the first pipelined byte nothing was read, and the client's end was not noticed. */
    @Test
    public void whoLeavesBehindFurtherBytesIsNotServed() throws Exception {
        for (String bytes :
                new String[] {
                    "x", TestCluster.requestText("use", "?next", ""), "x".repeat(100_000)
                }) {
            Socket client = connect();
            String request = TestCluster.requestText("use", "", "");
            Message.send(client, request);
            awaitInFlight(id(request));
            Message.send(client, bytes);
            loop.execute(() -> loop.afterSockets(() -> {})); // the bytes are read before the end
            awaitInFlight(id(request));
            client.close();
            loop.execute(() -> loop.afterSockets(this::list));
            onlyOneWhoStaysIsServed();
            loop.execute(this::listNone);
        }
    }

    /** The client disconnects during the first attempt, so that there is no retry. */
    @Test
    public void whoLeavesBetweenAttemptsIsNotServedAgain() throws Exception {
        CountDownLatch rejected = new CountDownLatch(1);
        endpoint.setScript(
                request -> {
                    ScriptedServer.await(rejected);
                    endpoint.setScript(next -> next.respond("200 OK", "", "made"));
                    request.respond("503 Busy", "X-Unprocessed: 1\r\n", "");
                });
        Socket client = connect();
        String request = TestCluster.requestText("use", "", "");
        loop.execute(this::list);
        Message.send(client, request);
        assertEquals(id(request), endpoint.takeRequest().header("X-Correlation-Id"));
        CountDownLatch goOn = new CountDownLatch(1);
        loop.execute(() -> ScriptedServer.await(goOn));
        client.close();
        rejected.countDown();
        goOn.countDown();
        onlyOneWhoStaysIsServed();
    }

    /** The connection to the endpoint is established after the client has disconnected. */
    @Test
    public void whoLeavesDuringAConnectIsNotServed() throws Exception {
        CountDownLatch goOn = new CountDownLatch(1);
        Socket client = connect();
        String request = TestCluster.requestText("use", "", "");
        Message.send(client, request);
        awaitInFlight(id(request));
        loop.execute(
                () -> {
                    endpoints.closeIdle(1);
                    list(); // an endpoint is selected, and a connection begun
                    loop.execute(() -> ScriptedServer.await(goOn)); // it is established meanwhile
                });
        client.close();
        goOn.countDown();
        onlyOneWhoStaysIsServed();
    }

    @Test
    public void whoLeavesWithHalfABodyIsNeverTaken() throws Exception {
        Socket client = connect();
        String request = TestCluster.requestText("use", "", "");
        Message.send(client, request.substring(0, request.length() - 2));
        loop.execute(this::list);
        client.close();
        onlyOneWhoStaysIsServed();
    }

    /** Bytes read behind a request replaced those that had come together with it. */
    @Test
    public void aCallSentAheadInPiecesIsWhole() throws Exception {
        try (Socket client = connect()) {
            String first = TestCluster.requestText("use", "?1", "");
            String ahead = TestCluster.requestText("use", "?2", "");
            Message.send(client, first + ahead.substring(0, 40));
            awaitInFlight(id(first));
            for (int at = 40; at < ahead.length(); at += 40) {
                Message.send(client, ahead.substring(at, Math.min(ahead.length(), at + 40)));
                awaitInFlight(id(first));
            }
            loop.execute(this::list);
            assertEquals("made", Message.read(client).body());
            assertEquals("made", Message.read(client).body());
            assertEquals(id(first), endpoint.takeRequest().header("X-Correlation-Id"));
            assertEquals(id(ahead), endpoint.takeRequest().header("X-Correlation-Id"));
        }
    }

    /**
     * Past 16 KiB, pipelined requests were read and dropped, and the connection ended with the
     * first response.
     */
    @Test
    public void callsSentAheadAreAllAnsweredInTheirOrder() throws Exception {
        for (int count : new int[] {300, 3_000}) { // about 50 KB, and more than is kept at a time
            try (Socket client = connect()) {
                List<String> requests =
                        Stream.generate(() -> TestCluster.requestText("use", "?ahead", ""))
                                .limit(count)
                                .toList();
                Message.send(client, requests.get(0));
                awaitInFlight(id(requests.get(0)));
                Thread sender = new Thread(() -> sendAll(client, requests.subList(1, count)));
                sender.start();
                loop.execute(() -> loop.schedule(100_000_000L, this::list));
                for (String request : requests) {
                    assertEquals("made", Message.read(client).body());
                    assertEquals(id(request), endpoint.takeRequest().header("X-Correlation-Id"));
                }
                sender.join();
            }
            loop.execute(this::listNone);
        }
    }

    private static void sendAll(Socket client, List<String> requests) {
        try {
            Message.send(client, String.join("", requests));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A last response ended the connection, although complete requests had come behind its own. */
    @Test
    public void theLastAnswerIsTheLastCallsWhereSomeAreSentAhead() throws Exception {
        loop.execute(() -> listener.closeAfterResponse(true));
        try (Socket client = connect()) {
            String first = TestCluster.requestText("use", "?1", "");
            Message.send(
                    client,
                    first
                            + TestCluster.requestText("use", "?2", "")
                            + TestCluster.requestText("use", "?3", ""));
            awaitInFlight(id(first));
            loop.execute(this::list);
            for (String last : new String[] {null, null, "close"}) {
                Message response = Message.read(client);
                assertEquals("made", response.body());
                assertEquals(last, response.header("Connection"));
            }
            assertNull(Message.read(client));
        }
    }

    /**
     * A rejected request is responded to at once, and the response ended the connection, although
     * complete requests had come behind it.
     */
    @Test
    public void theLastAnswerIsTheLastCallsBehindWhatIsNoCall() throws Exception {
        RequestFrontend platform = new PlatformFrontend(settings.classes, dispatcher);
        listener.setFrontend(
                new RequestFrontend() {
                    @Override
                    public String readyPath() {
                        return platform.readyPath();
                    }

                    @Override
                    public DecodedHead decode(HttpServerExchange exchange) {
                        return exchange.getRequestURI().equals("/nowhere")
                                ? DecodedHead.rejected(RejectionReason.NO_ROUTE)
                                : platform.decode(exchange);
                    }
                });
        loop.execute(() -> listener.closeAfterResponse(true));
        loop.execute(this::list);
        for (String path : new String[] {"/ready", "/nowhere"}) {
            try (Socket client = connect()) {
                String rejected = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
                Message.send(client, rejected + TestCluster.requestText("use", "", "") + rejected);
                assertNull(Message.read(client).header("Connection"));
                assertEquals("made", Message.read(client).body());
                assertEquals("close", Message.read(client).header("Connection"));
                assertNull(Message.read(client));
            }
        }
    }
}
