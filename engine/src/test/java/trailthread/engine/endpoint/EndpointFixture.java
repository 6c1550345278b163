package trailthread.engine.endpoint;

import static org.junit.Assert.assertNotNull;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import trailthread.api.EndpointState;
import trailthread.engine.discovery.DiscoveredEndpoint;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/** A pool with one endpoint, whose side of each connection is played by the test. */
final class EndpointFixture implements Closeable {
    static final long MS = 1_000_000L;
    static final long LONG_NS = 60_000 * MS;

    private static final String ENDPOINT = "w";
    private static final int MAX_CONNECTIONS = 16;
    private static final int TIMEOUT_S = 30;
    private static final int BODY_BYTES = 4;

    final EventLoop loop = new EventLoop("fixture");
    final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    final EndpointPool endpoints =
            new EndpointPool(
                    loop,
                    LONG_NS,
                    LONG_NS,
                    0,
                    ConnectionLimit.of(MAX_CONNECTIONS),
                    0,
                    CpuAccount.NONE);

    private final BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();

    EndpointFixture() throws IOException {
        server.setSoTimeout(1000 * TIMEOUT_S);
        loop.execute(() -> endpoints.update(listing(server.getLocalPort()), loop.now()));
    }

    /** Returns a list with one endpoint, "w", on this port of the loopback address. */
    static DiscoveryUpdate listing(int port) {
        DiscoveredEndpoint endpoint =
                new DiscoveredEndpoint(
                        ENDPOINT, "127.0.0.1:" + port, "a", 0, EndpointState.READY, 1, 0);
        return new DiscoveryUpdate(1, true, List.of(endpoint));
    }

    /** Starts an attempt to send a request that may not be repeated. */
    void attempt(String id) {
        attempt(id, BODY_BYTES);
    }

    /** Starts an attempt, and runs a task on the loop right after its start. */
    void attempt(String id, Runnable next) {
        loop.execute(
                () -> {
                    startAttempt(id, BODY_BYTES);
                    loop.execute(next);
                });
    }

    /** Starts an attempt with a body of this length. */
    void attempt(String id, int bodyBytes) {
        loop.execute(() -> startAttempt(id, bodyBytes));
    }

    private void startAttempt(String id, int bodyBytes) {
        EndpointRequest request =
                new EndpointRequest(id, "use", "POST", "/use", null, new byte[bodyBytes], null);
        endpoints.attempt(ENDPOINT, request, LONG_NS, results::add);
    }

    AttemptResult nextResult() throws InterruptedException {
        AttemptResult result = results.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull("the attempt ends", result);
        return result;
    }

    /** Accepts the next connection. */
    Socket accept() throws IOException {
        Socket connection = server.accept();
        connection.setSoTimeout(1000 * TIMEOUT_S);
        return connection;
    }

    /** Reads a request with the usual body, and returns its head. */
    static String readRequest(Socket connection) throws IOException {
        InputStream in = connection.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("ended after '" + head + "'");
            }
            head.append((char) next);
        }
        in.readNBytes(BODY_BYTES);
        return head.toString();
    }

    static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        loop.xnioWorker().shutdownNow();
        server.close();
    }
}
