package trailthread.daemon.admin;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.After;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Idempotency;
import trailthread.api.ListKind;
import trailthread.api.RequestClass;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.NodeControl;
import trailthread.engine.metrics.RequestResult;

/** The admin server over real sockets: its responses and the limits on its clients. */
public class AdminServerTest {
    private static final int TIMEOUT_S = 30;
    private static final int LONG_MS = 1000 * TIMEOUT_S;
    private static final long LONG_NS = 1_000_000L * LONG_MS;
    private static final int SHORT_MS = 200;
    private static final long SHORT_NS = 1_000_000L * SHORT_MS;
    private static final RequestClass READ =
            new RequestClass(
                    "read", 1, 0, 1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 1, 0);

    private final FixedNodeStatus status = new FixedNodeStatus();
    private final List<String> executedCommands = new CopyOnWriteArrayList<>();
    private final NodeControl control =
            new NodeControl() {
                @Override
                public boolean drain() {
                    return executedCommands.add("drain");
                }

                @Override
                public boolean resume() {
                    executedCommands.add("resume");
                    return false;
                }
            };
    private final List<Closeable> toClose = new ArrayList<>();
    private final EventLoop loop = new EventLoop("test");
    private AdminServer server;
    private InetSocketAddress address;

    public AdminServerTest() throws IOException {}

    private void listen(AdminLimits limits) throws IOException {
        server = new AdminServer(loop, "n0", List.of(READ), status, limits);
        address =
                server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), control);
    }

    private static AdminLimits maxConnections(int connections) {
        return new AdminLimits(connections, LONG_MS, LONG_MS, LONG_NS, 0, 0, 0);
    }

    @After
    public void end() throws Exception {
        for (Closeable c : toClose) {
            c.close();
        }
        server.close();
        CountDownLatch ended = new CountDownLatch(1);
        // Waits for the loop's tasks and for the renderings that they have started.
        loop.execute(() -> loop.xnioWorker().execute(() -> loop.execute(ended::countDown)));
        assertTrue(ended.await(TIMEOUT_S, TimeUnit.SECONDS));
        loop.xnioWorker().shutdown();
        assertTrue(loop.xnioWorker().awaitTermination(TIMEOUT_S, TimeUnit.SECONDS));
    }

    private Socket connect() throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(LONG_MS);
        toClose.add(client);
        return client;
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void sendRequest(Socket client, String method, String path, String headers)
            throws IOException {
        send(client, method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n");
    }

    /** Reads one response, head and body. */
    private static String readResponse(Socket client) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = client.getInputStream().read();
            assertTrue("ended after: " + head, b >= 0);
            head.append((char) b);
        }
        Matcher length = Pattern.compile("(?i)content-length: (\\d+)").matcher(head);
        int bytes = length.find() ? Integer.parseInt(length.group(1)) : 0;
        return head + new String(client.getInputStream().readNBytes(bytes), StandardCharsets.UTF_8);
    }

    private String get(Socket client, String path) throws IOException {
        sendRequest(client, "GET", path, "");
        return readResponse(client);
    }

    private static boolean isClosed(Socket client) {
        try {
            return client.getInputStream().read() < 0;
        } catch (IOException e) {
            return !(e instanceof SocketTimeoutException);
        }
    }

    private static void assertStatus(int status, String response) {
        assertTrue(response, response.startsWith("HTTP/1.1 " + status + " "));
    }

    @Test
    public void countersIncreaseFromScrapeToScrape() throws Exception {
        listen(maxConnections(8));
        Socket client = connect();
        MetricsRecorder recorder = server.metricsRecorder();
        for (int admitted = 0; admitted < 3; admitted++) {
            String response = get(client, "/metrics");
            assertStatus(200, response);
            assertTrue(response, response.contains("Content-Type: text/plain; version=0.0.4"));
            String body = response.substring(response.indexOf("\r\n\r\n") + 4);
            MetricsExpositionTest.assertTextFormat(body);
            assertTrue(
                    body,
                    body.contains(
                            "\ntrailthread_calls_total{class=\"read\"} " + admitted + ".0\n"));
            loop.execute(
                    () -> recorder.requestAdmitted("read")); // runs before the next request is read
        }
        loop.execute(() -> recorder.degradationLevelEntered(loop.now(), "full"));
        sendRequest(
                client,
                "GET",
                "/metrics",
                "Accept: application/openmetrics-text;version=1.0.0,*/*;q=0.5\r\n");
        String openMetrics = readResponse(client);
        assertTrue(openMetrics, openMetrics.contains("Content-Type: application/openmetrics-text"));
        assertTrue(openMetrics, openMetrics.endsWith("# EOF\n"));
        assertTrue(openMetrics, openMetrics.contains("# TYPE trailthread_level stateset\n"));
        String statusJson = get(client, "/status");
        assertTrue(
                statusJson,
                statusJson.contains("application/json") && statusJson.contains("\"name\": \"n0\""));
    }

    @Test
    public void unknownPathsMethodsAndBodiesAreRejected() throws Exception {
        listen(maxConnections(8));
        Socket client = connect();
        assertStatus(200, get(client, "/ready"));
        status.ready = false;
        assertStatus(503, get(client, "/ready"));
        for (String path : List.of("/", "/metrics/", "/read", "/../metrics")) {
            assertStatus(404, get(client, path));
        }
        for (String method : List.of("POST", "HEAD", "DELETE", "metrics")) {
            sendRequest(client, method, "/metrics", "");
            String response = readResponse(client);
            assertStatus(405, response);
            assertTrue(response, response.contains("Allow: GET"));
        }
        for (String body :
                List.of("Content-Length: 5000000\r\n", "Transfer-Encoding: chunked\r\n")) {
            Socket sender = connect();
            sendRequest(sender, "GET", "/metrics", body);
            assertStatus(413, readResponse(sender));
            assertTrue("closed, with its body unread", isClosed(sender));
        }
        Socket longHead = connect();
        sendRequest(longHead, "GET", "/metrics", "X: " + "x".repeat(20_000) + "\r\n");
        assertStatus(400, readResponse(longHead));
        assertTrue("closed after a head that is too long", isClosed(longHead));
    }

    /** Sends a request to a prescribed path, on a connection that ends with the response. */
    private String sendPrescribed(String method, String path, String headersAndBody)
            throws IOException {
        Socket client = connect();
        send(client, method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + headersAndBody);
        String response = readResponse(client);
        assertTrue(response, isClosed(client));
        return response;
    }

    @Test
    public void prescribedMetricsAreCurrent() throws Exception {
        listen(maxConnections(8));
        MetricsRecorder recorder = server.metricsRecorder();
        loop.execute(
                () -> {
                    recorder.endpointListUpdated(
                            ListKind.FULL,
                            List.of(new EndpointEntry("w", 1, EndpointState.READY, "a", 0, 0)));
                    for (int i = 0; i < 4; i++) {
                        recorder.requestAdmitted("read");
                    }
                    recorder.attemptSent();
                    recorder.requestAnswered("read", RequestResult.SERVED, 1, 1);
                    recorder.requestAnswered("read", RequestResult.REFUSED, 1, 1);
                    recorder.requestAnswered("read", RequestResult.FAILED, 1, 1);
                    recorder.configurationReloaded(true);
                });
        String first = sendPrescribed("GET", "/-/metrics", "\r\n");
        assertStatus(200, first);
        assertEquals(
                """
                app_answered{group="read"} 1
                app_deferred{group="read"} 1
                app_errored{group="read"} 1
                app_sends 1
                app_current 1
                app_cluster_size 1
                app_cluster_unhealthy 7
                app_conf_loaded 1
                app_conf_invalid 0
                """,
                first.substring(first.indexOf("\r\n\r\n") + 4));
        loop.execute(() -> recorder.configurationReloaded(false));
        assertTrue(sendPrescribed("GET", "/-/metrics", "\r\n").contains("\napp_conf_invalid 1\n"));
    }

    @Test
    public void onlyACompleteRequestHasAnEffect() throws Exception {
        listen(maxConnections(8));
        Socket half = connect();
        send(half, "POST /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{");
        assertStatus(200, sendPrescribed("GET", "/-/ready", "\r\n"));
        assertStatus(404, sendPrescribed("GET", "/-/drain", "\r\n"));
        assertStatus(503, sendPrescribed("POST", "/-/resume", "Content-Length: 0\r\n\r\n"));
        assertEquals(List.of("resume"), executedCommands);
        send(half, "}");
        assertStatus(200, readResponse(half));
        assertStatus(
                200,
                sendPrescribed("POST", "/-/drain", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
        assertEquals(List.of("resume", "drain", "drain"), executedCommands);
    }

    @Test
    public void aFurtherConnectionReplacesTheLongestIdleOne() throws Exception {
        listen(maxConnections(2));
        Socket first = connect();
        assertStatus(200, get(first, "/ready"));
        Socket second = connect();
        assertStatus(200, get(second, "/ready"));
        assertStatus(200, get(connect(), "/ready"));
        assertTrue(isClosed(first));
        assertStatus(200, get(second, "/ready"));
    }

    @Test
    public void whereAllAreBusyAFurtherConnectionIsClosed() throws Exception {
        listen(maxConnections(2));
        get(connect(), "/metrics");
        get(connect(), "/status");
        status.snapshots.drainPermits();
        CountDownLatch rendering = new CountDownLatch(1);
        loop.xnioWorker()
                .execute(
                        () -> {
                            try {
                                rendering.await(TIMEOUT_S, TimeUnit.SECONDS);
                            } catch (InterruptedException e) {
                                throw new AssertionError(e);
                            }
                        });
        Socket first = connect();
        Socket second = connect();
        sendRequest(first, "GET", "/metrics", "");
        sendRequest(second, "GET", "/status", "");
        assertTrue(status.snapshots.tryAcquire(2, TIMEOUT_S, TimeUnit.SECONDS));
        assertTrue(isClosed(connect()));
        rendering.countDown();
        assertStatus(200, readResponse(first));
        assertStatus(200, readResponse(second));
    }

    @Test
    public void incompleteHeadsAndIdleConnectionsTimeOut() throws Exception {
        listen(new AdminLimits(8, 10 * SHORT_MS, LONG_MS, LONG_NS, 0, 0, 0));
        Socket silent = connect();
        Socket idle = connect();
        assertStatus(200, get(idle, "/ready"));
        assertTrue(isClosed(silent) && isClosed(idle));
        server.close();
        listen(new AdminLimits(8, LONG_MS, SHORT_MS, LONG_NS, 0, 0, 0));
        Socket half = connect();
        send(half, "GET /metrics HTTP/1.1\r\nHost:");
        Socket other = connect();
        assertStatus(200, get(other, "/ready"));
        assertTrue(isClosed(half));
        assertStatus(200, get(other, "/ready"));
    }

    @Test
    public void theConnectionOfAClientThatDoesNotReadIsClosed() throws Exception {
        int requests = 1000;
        listen(new AdminLimits(1, LONG_MS, LONG_MS, SHORT_NS, 0, 0, 0));
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            entries.add(new EndpointEntry("w" + i, 1, EndpointState.READY, "a", 0, 0));
        }
        loop.execute(() -> server.metricsRecorder().endpointListUpdated(ListKind.FULL, entries));
        Socket unread = connect();
        send(unread, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n".repeat(requests));
        assertTrue(status.snapshots.tryAcquire(TIMEOUT_S, TimeUnit.SECONDS));
        int rendered = 1;
        while (status.snapshots.tryAcquire(5 * SHORT_MS, TimeUnit.MILLISECONDS)) {
            rendered++;
        }
        assertTrue("the connection should be full before " + rendered, rendered < requests);
        boolean otherClientServed = false;
        for (long start = System.nanoTime();
                !otherClientServed && System.nanoTime() - start < LONG_NS; ) {
            try (Socket other = connect()) {
                sendRequest(other, "GET", "/ready", "");
                otherClientServed = other.getInputStream().read() == 'H';
            } catch (IOException e) {
                Thread.sleep(SHORT_MS); // the limit is still reached
            }
        }
        assertTrue("another client is served", otherClientServed);
    }

    @Test
    public void theRateOfResponsesOnOneConnectionIsLimited() throws Exception {
        listen(new AdminLimits(8, LONG_MS, LONG_MS, LONG_NS, SHORT_NS, 0, LONG_NS));
        Socket client = connect();
        get(client, "/ready");
        long start = System.nanoTime();
        get(client, "/metrics");
        get(client, "/metrics");
        assertTrue(System.nanoTime() - start >= SHORT_NS);
        assertEquals(
                "rendered once for all requests within the cache time",
                1,
                status.snapshots.drainPermits());
    }

    @Test
    public void anAddressThatCantBeBoundIsNamed() throws Exception {
        listen(maxConnections(8));
        BindException e =
                assertThrows(
                        BindException.class,
                        () ->
                                new AdminServer(loop, "n1", List.of(READ), status)
                                        .listen(address, control));
        assertTrue(e.getMessage(), e.getMessage().startsWith("management: "));
    }
}
