package trailthread.daemon.listener;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
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
 * A client may disconnect at any time while its request waits. The request is then not forwarded to
 * an endpoint. Also covers pipelined requests, as bytes behind a request are read to detect a
 * disconnect.
 */
public class ClientDisconnectTest {
    private static final long LONG_NS = 20_000_000_000L;

    /** How long after a disconnect an attempt may still begin. */
    private static final long DISCONNECT_NOTICED_MS = 100;

    private final EventLoop loop;
    private final ScriptedServer endpoint;
    private final Settings settings = new Settings();
    private RequestDispatcher dispatcher;
    private EndpointPool endpoints;
    private HttpListener listener;
    private InetSocketAddress address;

    public ClientDisconnectTest() throws IOException {
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
        loop.execute(this::listEndpoint);
        // Leaves an open connection to the endpoint, on which the next request is sent at once.
        assertOnlyAConnectedClientIsServed();
        listNoEndpointNow();
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

    /** Lists the endpoint, to which queued requests are then sent. Runs on the loop's thread. */
    private void listEndpoint() {
        dispatcher.updateEndpointList(
                ListKind.FULL, List.of(new EndpointEntry("w", 1, EndpointState.READY, "a", 0, 0)));
    }

    /** Lists no endpoint, so that requests are queued. Runs on the loop's thread. */
    private void listNoEndpoint() {
        dispatcher.updateEndpointList(ListKind.FULL, List.of());
    }

    /** Lists no endpoint, before a request that is sent later is read. */
    private void listNoEndpointNow() {
        CountDownLatch listed = new CountDownLatch(1);
        loop.execute(
                () -> {
                    listNoEndpoint();
                    listed.countDown();
                });
        ScriptedServer.await(listed);
    }

    /** Waits until the requests with these ids are in flight. */
    private void awaitInFlight(String... ids) throws Exception {
        for (String id : ids) {
            for (boolean inFlight = false; !inFlight; ) {
                CountDownLatch checked = new CountDownLatch(1);
                boolean[] open = new boolean[1];
                loop.execute(
                        () -> {
                            open[0] = dispatcher.isOpen(id);
                            checked.countDown();
                        });
                ScriptedServer.await(checked);
                inFlight = open[0];
            }
        }
    }

    private static String id(String request) {
        return request.split("X-Correlation-Id: ")[1].split("\r\n")[0];
    }

    /**
     * Asserts that a connected client's request is served, and that the endpoint has received no
     * other request.
     */
    private void assertOnlyAConnectedClientIsServed() throws Exception {
        try (Socket connected = connect()) {
            String request = TestCluster.requestText("use", "?stays", "");
            Message.send(connected, request);
            assertEquals("made", Message.read(connected).body());
            assertEquals(id(request), endpoint.takeRequest().header("X-Correlation-Id"));
            endpoint.assertNoMoreRequests();
        }
        Thread.sleep(20); // the endpoint connection is reused only after a short pause
    }

    /** Guards against forwarding a request that is read together with the disconnect. */
    @Test
    public void disconnectReadWithTheRequestPreventsForwarding() throws Exception {
        CountDownLatch unblock = new CountDownLatch(1);
        loop.execute(this::listEndpoint);
        loop.execute(() -> ScriptedServer.await(unblock));
        Socket client = connect();
        Message.send(client, TestCluster.requestText("use", "", ""));
        client.close();
        unblock.countDown();
        assertOnlyAConnectedClientIsServed();
    }

    /** A late loop handles timers and list updates before it reads the disconnect. */
    @Test
    public void disconnectBeforeALateLoopReadsPreventsForwarding() throws Exception {
        for (boolean resets : new boolean[] {false, true}) {
            Socket client = connect();
            String request = TestCluster.requestText("use", "", "");
            Message.send(client, request);
            awaitInFlight(id(request));
            CountDownLatch unblock = new CountDownLatch(1);
            loop.execute(() -> ScriptedServer.await(unblock));
            loop.execute(this::listEndpoint); // runs before the sockets are read
            client.setSoLinger(resets, 0);
            client.close();
            unblock.countDown();
            assertOnlyAConnectedClientIsServed();
            listNoEndpointNow();
        }
    }

    /**
     * Guards against no longer reading after the first pipelined byte, which hid the disconnect.
     */
    @Test
    public void disconnectBehindPipelinedBytesPreventsForwarding() throws Exception {
        for (String bytes :
                new String[] {
                    "x", TestCluster.requestText("use", "?next", ""), "x".repeat(100_000)
                }) {
            Socket client = connect();
            String request = TestCluster.requestText("use", "", "");
            Message.send(client, request);
            awaitInFlight(id(request));
            Message.send(client, bytes);
            // The bytes are read before the disconnect.
            loop.execute(() -> loop.afterSockets(() -> {}));
            awaitInFlight(id(request));
            client.close();
            loop.execute(() -> loop.afterSockets(this::listEndpoint));
            assertOnlyAConnectedClientIsServed();
            listNoEndpointNow();
        }
    }

    /** Guards against forwarding the requests of a client that sent much at once and left. */
    @Test
    public void disconnectBehindManyPipelinedRequestsPreventsForwarding() throws Exception {
        String next = TestCluster.requestText("use", "?next", "");
        for (int kilobytes : new int[] {300, 600, 1_500}) {
            String request = TestCluster.requestText("use", "", "");
            Socket client = connect();
            Message.send(client, request);
            awaitInFlight(id(request));
            Message.send(client, next.repeat(1_000 * kilobytes / next.length()));
            client.close();
            Thread.sleep(DISCONNECT_NOTICED_MS);
            loop.execute(this::listEndpoint);
            assertOnlyAConnectedClientIsServed();
            listNoEndpointNow();
        }
    }

    /** Guards against forwarding a request whose client's disconnect can't be read. */
    @Test
    public void disconnectBehindMoreThanIsReadPreventsForwarding() throws Exception {
        String request = TestCluster.requestText("use", "", "");
        try (SocketChannel client = SocketChannel.open(address)) {
            Message.send(client.socket(), request);
            awaitInFlight(id(request));
            sendAsMuchAsIsTaken(client);
        }
        Thread.sleep(DISCONNECT_NOTICED_MS);
        loop.execute(this::listEndpoint);
        assertOnlyAConnectedClientIsServed();
    }

    /** Guards against forwarding while the end of the connection is held up in the sockets. */
    @Test
    public void disconnectBehindUnreadBytesOfALateLoopPreventsForwarding() throws Exception {
        String request = TestCluster.requestText("use", "", "");
        CountDownLatch unblock = new CountDownLatch(1);
        try (SocketChannel client = SocketChannel.open(address)) {
            Message.send(client.socket(), request);
            awaitInFlight(id(request));
            loop.execute(
                    () -> {
                        ScriptedServer.await(unblock);
                        listEndpoint();
                    });
            sendAsMuchAsIsTaken(client);
        }
        Thread.sleep(DISCONNECT_NOTICED_MS);
        unblock.countDown();
        assertOnlyAConnectedClientIsServed();
    }

    /** Writes until the client's and the node's sockets are full, and nothing more is read. */
    private static void sendAsMuchAsIsTaken(SocketChannel client) throws Exception {
        client.configureBlocking(false);
        ByteBuffer bytes = ByteBuffer.allocate(1_000_000);
        for (int writesOfNothing = 0; writesOfNothing < 20; ) {
            int written = client.write(bytes.rewind());
            writesOfNothing = written > 0 ? 0 : writesOfNothing + 1;
            Thread.sleep(10);
        }
    }

    /** The client disconnects during the first attempt, so that there is no retry. */
    @Test
    public void disconnectDuringAnAttemptPreventsARetry() throws Exception {
        CountDownLatch rejected = new CountDownLatch(1);
        endpoint.setScript(
                request -> {
                    ScriptedServer.await(rejected);
                    endpoint.setScript(next -> next.respond("200 OK", "", "made"));
                    request.respond("503 Busy", "X-Unprocessed: 1\r\n", "");
                });
        Socket client = connect();
        String request = TestCluster.requestText("use", "", "");
        loop.execute(this::listEndpoint);
        Message.send(client, request);
        assertEquals(id(request), endpoint.takeRequest().header("X-Correlation-Id"));
        CountDownLatch unblock = new CountDownLatch(1);
        loop.execute(() -> ScriptedServer.await(unblock));
        client.close();
        rejected.countDown();
        unblock.countDown();
        assertOnlyAConnectedClientIsServed();
    }

    /** The connection to the endpoint is established after the client has disconnected. */
    @Test
    public void disconnectDuringAConnectPreventsForwarding() throws Exception {
        CountDownLatch unblock = new CountDownLatch(1);
        Socket client = connect();
        String request = TestCluster.requestText("use", "", "");
        Message.send(client, request);
        awaitInFlight(id(request));
        loop.execute(
                () -> {
                    endpoints.closeIdle(1);
                    listEndpoint(); // an endpoint is selected, and a connection is started
                    // The connection is established while the loop is blocked.
                    loop.execute(() -> ScriptedServer.await(unblock));
                });
        client.close();
        unblock.countDown();
        assertOnlyAConnectedClientIsServed();
    }

    @Test
    public void disconnectWithHalfABodyPreventsForwarding() throws Exception {
        Socket client = connect();
        String request = TestCluster.requestText("use", "", "");
        Message.send(client, request.substring(0, request.length() - 2));
        loop.execute(this::listEndpoint);
        client.close();
        assertOnlyAConnectedClientIsServed();
    }

    /** Guards against replacing pipelined bytes that arrived with a request by later ones. */
    @Test
    public void aRequestPipelinedInPiecesIsComplete() throws Exception {
        try (Socket client = connect()) {
            String first = TestCluster.requestText("use", "?1", "");
            String pipelined = TestCluster.requestText("use", "?2", "");
            Message.send(client, first + pipelined.substring(0, 40));
            awaitInFlight(id(first));
            for (int at = 40; at < pipelined.length(); at += 40) {
                Message.send(
                        client, pipelined.substring(at, Math.min(pipelined.length(), at + 40)));
                awaitInFlight(id(first));
            }
            loop.execute(this::listEndpoint);
            assertEquals("made", Message.read(client).body());
            assertEquals("made", Message.read(client).body());
            assertEquals(id(first), endpoint.takeRequest().header("X-Correlation-Id"));
            assertEquals(id(pipelined), endpoint.takeRequest().header("X-Correlation-Id"));
        }
    }

    /**
     * Guards against dropping pipelined requests past 16 KiB and closing the connection after the
     * first response.
     */
    @Test
    public void pipelinedRequestsAreAllServedInOrder() throws Exception {
        for (int count : new int[] {300, 3_000}) { // about 50 KB, and more than is buffered
            try (Socket client = connect()) {
                List<String> requests =
                        Stream.generate(() -> TestCluster.requestText("use", "?ahead", ""))
                                .limit(count)
                                .toList();
                Message.send(client, requests.get(0));
                awaitInFlight(id(requests.get(0)));
                Thread sender = new Thread(() -> sendAll(client, requests.subList(1, count)));
                sender.start();
                loop.execute(() -> loop.schedule(100_000_000L, this::listEndpoint));
                for (String request : requests) {
                    assertEquals("made", Message.read(client).body());
                    assertEquals(id(request), endpoint.takeRequest().header("X-Correlation-Id"));
                }
                sender.join();
            }
            listNoEndpointNow();
        }
    }

    private static void sendAll(Socket client, List<String> requests) {
        try {
            Message.send(client, String.join("", requests));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Guards against closing the connection with a response while complete requests are pipelined.
     */
    @Test
    public void onlyTheLastPipelinedResponseEndsTheConnection() throws Exception {
        loop.execute(() -> listener.setCloseAfterResponse(true));
        try (Socket client = connect()) {
            String first = TestCluster.requestText("use", "?1", "");
            Message.send(
                    client,
                    first
                            + TestCluster.requestText("use", "?2", "")
                            + TestCluster.requestText("use", "?3", ""));
            awaitInFlight(id(first));
            loop.execute(this::listEndpoint);
            for (String last : new String[] {null, null, "close"}) {
                Message response = Message.read(client);
                assertEquals("made", response.body());
                assertEquals(last, response.header("Connection"));
            }
            assertNull(Message.read(client));
        }
    }

    /**
     * Guards against closing the connection with a response that the listener itself sends, while
     * complete requests are pipelined behind it.
     */
    @Test
    public void anImmediateResponseDoesNotEndTheConnectionBeforePipelinedRequests()
            throws Exception {
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
        loop.execute(() -> listener.setCloseAfterResponse(true));
        loop.execute(this::listEndpoint);
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
