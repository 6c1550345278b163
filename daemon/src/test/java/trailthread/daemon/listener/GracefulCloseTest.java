package trailthread.daemon.listener;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;
import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.http.ByteSink;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;
import trailthread.engine.request.RequestHandler;

/**
 * A graceful shutdown and a drain close connections in every state without losing a request or a
 * response. A connection that is closed over unread bytes is reset, and its client loses the
 * response.
 */
public class GracefulCloseTest {
    /** More than the system buffers for a client that does not read. */
    private static final int LONG_BODY_BYTES = 16 * 1024 * 1024;

    private static final String CONNECTION_CLOSE = "Connection: close\r\n";

    private final EventLoop loop;
    private final List<Socket> clients = new ArrayList<>();
    private final BlockingQueue<ClientResponse> responses = new LinkedBlockingQueue<>();
    private final CountDownLatch allClosed = new CountDownLatch(1);
    private HttpListener listener;
    private InetSocketAddress address;
    private int lastId;

    public GracefulCloseTest() throws IOException {
        loop = new EventLoop("ends");
    }

    @After
    public void end() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        loop.xnioWorker().shutdownNow();
    }

    private void listen() throws IOException {
        RequestClass use =
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
        listener =
                new HttpListener(
                        loop,
                        32,
                        32,
                        new PlatformFrontend(
                                List.of(use),
                                new RequestHandler() {
                                    @Override
                                    public Runnable handle(
                                            ClientRequest request,
                                            long deadline,
                                            ClientResponse response) {
                                        responses.add(response);
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

    private Socket connect(String sent) throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(30_000);
        clients.add(client);
        send(client, sent);
        return client;
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private String request() {
        return "POST /use HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: e"
                + ++lastId
                + "\r\nX-Service-Class: use\r\nX-Time-Left: 20\r\nContent-Length: 4\r\n\r\npour";
    }

    /** Returns the pending response to the next request that the listener receives. */
    private ClientResponse nextResponse() throws InterruptedException {
        return responses.poll(30, TimeUnit.SECONDS);
    }

    private static EndpointResponse endpointResponse() {
        return EndpointResponse.of("made".getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads everything that the client receives until its connection is closed. */
    private static String readAll(Socket client) throws IOException {
        return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test
    public void gracefulShutdownClosesConnectionsInEveryState() throws Exception {
        assertNothingIsLost(
                () -> {
                    listener.setCloseAfterResponse(true);
                    listener.close(allClosed::countDown);
                });
        assertTrue("all connections are closed", allClosed.await(30, TimeUnit.SECONDS));
    }

    @Test
    public void drainClosesConnectionsInEveryState() throws Exception {
        assertNothingIsLost(
                () -> {
                    listener.setCloseAfterResponse(true);
                    closeUnusedRepeatedly();
                });
    }

    private void closeUnusedRepeatedly() {
        listener.closeUnused();
        loop.schedule(100_000_000L, this::closeUnusedRepeatedly);
    }

    private void assertNothingIsLost(Runnable closeConnections) throws Exception {
        listen();
        Socket idle = connectAndServe();
        Socket unreadRequest = connectAndServe();
        Socket unreadResponse = connect(request());
        ClientResponse writtenResponse = nextResponse();
        loop.execute(() -> writtenResponse.respond(endpointResponse()));
        Socket pendingRequest = connect(request());
        final ClientResponse pendingResponse = nextResponse();
        Socket halfStreamed = connect(request());
        ClientResponse streamedResponse = nextResponse();
        BlockingQueue<ByteSink> sinks = new LinkedBlockingQueue<>();
        CountDownLatch writable = new CountDownLatch(1);
        loop.execute(
                () -> {
                    ByteSink sink =
                            streamedResponse.beginStreaming(
                                    endpointResponse(),
                                    LONG_BODY_BYTES,
                                    writable::countDown,
                                    () -> {});
                    sink.writePiece(ByteBuffer.wrap(new byte[LONG_BODY_BYTES / 2]));
                    sinks.add(sink);
                });
        final ByteSink sink = sinks.poll(30, TimeUnit.SECONDS);
        Socket halfBody = connect(request().replace("pour", "po"));
        Socket silent = connect("");
        awaitAccepted();
        CountDownLatch closeStarted = new CountDownLatch(1);
        loop.execute(
                () -> {
                    try {
                        // The loop reads this request only after the close has started.
                        send(unreadRequest, request());
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                    closeConnections.run();
                    closeStarted.countDown();
                });
        closeStarted.await(30, TimeUnit.SECONDS);
        send(halfBody, "ur");
        for (int i = 0; i < 2; i++) { // for halfBody and unreadRequest
            ClientResponse response = nextResponse();
            loop.execute(() -> response.respond(endpointResponse()));
        }
        assertLastResponse("with half a body", readAll(halfBody));
        assertLastResponse("with a complete request unread", readAll(unreadRequest));
        assertEquals("accepted and silent", "", readAll(silent));
        assertEquals("idle", "", readAll(idle));
        loop.execute(() -> pendingResponse.respond(endpointResponse()));
        assertLastResponse("with a request at an endpoint", readAll(pendingRequest));
        assertTrue("with its response written, not read", readAll(unreadResponse).endsWith("made"));
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        Thread reader =
                new Thread(
                        () -> {
                            try {
                                halfStreamed.getInputStream().transferTo(received);
                            } catch (IOException e) {
                                throw new AssertionError(e);
                            }
                        });
        reader.start();
        assertTrue(writable.await(30, TimeUnit.SECONDS));
        loop.execute(
                () -> {
                    sink.writePiece(
                            ByteBuffer.wrap(new byte[LONG_BODY_BYTES - LONG_BODY_BYTES / 2]));
                    sink.endBody();
                });
        reader.join(30_000);
        assertTrue("with half a response", received.size() > LONG_BODY_BYTES);
    }

    /**
     * Waits until the silent connection is accepted. Otherwise, closing the listening socket would
     * reset it.
     */
    private void awaitAccepted() throws InterruptedException {
        BlockingQueue<Integer> silent = new LinkedBlockingQueue<>();
        do {
            loop.execute(() -> silent.add(listener.connectionsByState().get("silent")));
        } while (silent.poll(30, TimeUnit.SECONDS) == 0);
    }

    private static void assertLastResponse(String state, String received) {
        assertTrue(
                state + ": " + received,
                received.startsWith("HTTP/1.1 200")
                        && received.contains(CONNECTION_CLOSE)
                        && received.endsWith("made"));
    }

    /** Opens a connection that is idle after a request. */
    private Socket connectAndServe() throws Exception {
        Socket client = connect(request());
        ClientResponse response = nextResponse();
        loop.execute(() -> response.respond(endpointResponse()));
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith("\r\n\r\nmade")) {
            int b = client.getInputStream().read();
            assertTrue("ended after '" + text + "'", b >= 0);
            text.append((char) b);
        }
        return client;
    }
}
