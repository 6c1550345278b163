package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/**
 * A request whose body is streamed has its response in its time, whatever its endpoint does with
 * the body. The node's own limit for a body of this length is two minutes.
 */
public class StreamedBodyDeadlineTest extends WithAdminServer {
    /** Too small to buffer the body. */
    private static final int HEAP_MEGABYTES = 16;

    private static final int BODY_BYTES = 6 * 1024 * 1024;
    private static final int PIECE_BYTES = 64 * 1024;
    private static final int TRICKLE_BYTES = 1024;
    private static final int TRICKLE_MS = 20;
    private static final String CHUNKED = "Transfer-Encoding: chunked";
    private static final List<String> FRAMINGS = List.of("Content-Length: " + BODY_BYTES, CHUNKED);

    /** What an endpoint does after the head of a request. */
    private interface Behaviour {
        void serve(Socket connection) throws IOException, InterruptedException;
    }

    /** An endpoint that reads the heads of requests, and keeps their connections open. */
    private static final class HeadReader implements Closeable {
        private final ServerSocket server =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private final Behaviour behaviour;

        HeadReader(Behaviour behaviour) throws IOException {
            this.behaviour = behaviour;
            server.setReceiveBufferSize(PIECE_BYTES);
            startThread(this::accept);
        }

        String hostPort() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = server.accept();
                    connections.add(connection);
                    startThread(() -> serve(connection));
                }
            } catch (IOException e) {
                // closed
            }
        }

        private void serve(Socket connection) {
            try {
                readHead(connection.getInputStream());
                behaviour.serve(connection);
            } catch (IOException | InterruptedException e) {
                // the node closed the connection, or the test has ended
            }
        }

        private static void readHead(InputStream in) throws IOException {
            int last = 0;
            while (last != 0x0d0a0d0a) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("ended within a head");
                }
                last = last << 8 | next;
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void startWith(Behaviour behaviour) throws Exception {
        HeadReader endpoint = cluster.closeAtEnd(new HeadReader(behaviour));
        ScriptedServer listed = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.maxHeapMegabytes = HEAP_MEGABYTES;
        cluster.start(TestCluster.SETTINGS);
        TestCluster.sendWatchLine(
                cluster.discovery.takeRequest(),
                TestCluster.endpointListJson(2, true, "active", listed)
                        .replace(listed.hostPort(), endpoint.hostPort()));
        cluster.awaitMetricLine("app_cluster_size 1");
    }

    private static void sendBody(Socket client, boolean chunked) {
        String piece = "x".repeat(PIECE_BYTES);
        String chunk = Integer.toHexString(PIECE_BYTES) + "\r\n" + piece + "\r\n";
        try {
            for (int sent = 0; sent < BODY_BYTES; sent += PIECE_BYTES) {
                Message.send(client, chunked ? chunk : piece);
            }
            Message.send(client, chunked ? "0\r\n\r\n" : "");
        } catch (IOException e) {
            // the response tells
        }
    }

    private Socket sendRequest(String framing) throws IOException {
        Socket client = cluster.connect();
        String head =
                TestCluster.requestText("use", "", "")
                        .replace("X-Time-Left: 20.000", "X-Time-Left: 1.200")
                        .replaceFirst("(?s)Content-Length: 4\r\n\r\npour", "");
        Message.send(client, head + framing + "\r\n\r\n");
        return client;
    }

    private int respondedStatus(String framing) throws Exception {
        Socket client = sendRequest(framing);
        startThread(() -> sendBody(client, framing.equals(CHUNKED)));
        Message response = Message.read(client);
        assertNotNull("closed without a response: " + framing, response);
        cluster.awaitMetricLine("app_current 0");
        return response.status();
    }

    private void assertRejected(String framing) throws Exception {
        assertEquals("it never ran: " + framing, 503, respondedStatus(framing));
    }

    /** Guards against requests that nobody answers while their endpoint takes nothing. */
    @Test
    public void anEndpointThatTakesNoBodyDoesNotHoldUpTheResponse() throws Exception {
        startWith(connection -> {});
        for (String framing : FRAMINGS) {
            assertRejected(framing);
        }
    }

    /** Guards against a request that waits for an endpoint while its body is held up. */
    @Test
    public void aBodyThatWaitsForAnEndpointDoesNotHoldUpTheResponse() throws Exception {
        cluster.maxHeapMegabytes = HEAP_MEGABYTES;
        cluster.start(TestCluster.SETTINGS);
        for (String framing : FRAMINGS) {
            assertRejected(framing);
        }
    }

    /** Guards against an endpoint that is never silent for long, and never takes all. */
    @Test
    public void anEndpointThatTakesTheBodySlowlyDoesNotHoldUpTheResponse() throws Exception {
        startWith(
                connection -> {
                    while (connection.getInputStream().readNBytes(TRICKLE_BYTES).length > 0) {
                        Thread.sleep(TRICKLE_MS);
                    }
                });
        for (String framing : FRAMINGS) {
            assertRejected(framing);
        }
    }

    /**
     * Guards against an endpoint that stops within the body, of which a socket may hold the rest.
     */
    @Test
    public void anEndpointThatTakesHalfOfTheBodyDoesNotHoldUpTheResponse() throws Exception {
        startWith(connection -> connection.getInputStream().skipNBytes(BODY_BYTES / 2));
        for (String framing : FRAMINGS) {
            int status = respondedStatus(framing);
            assertTrue(framing + ": " + status, status == 503 || status == 502);
        }
    }

    /** A body that was taken may have run: the request fails, as it is not safe to repeat. */
    @Test
    public void anEndpointThatDoesNotRespondAfterTheBodyDoesNotHoldUpTheResponse()
            throws Exception {
        startWith(connection -> connection.getInputStream().skipNBytes(BODY_BYTES));
        Socket client = sendRequest(FRAMINGS.get(0));
        startThread(() -> sendBody(client, false));
        assertEquals(502, Message.read(client).status());
    }

    /** Guards against a reset that takes the response from a client that is still sending. */
    @Test
    public void aResponseBeforeTheEndOfTheBodyIsNotLostByAReset() throws Exception {
        startWith(
                connection ->
                        Message.send(
                                connection,
                                "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"));
        for (String framing : FRAMINGS) {
            Socket client = sendRequest(framing);
            sendBody(client, framing.equals(CHUNKED));
            cluster.awaitMetricLine("app_current 0");
            Message response = Message.read(client);
            assertEquals(framing, 503, response.status());
            assertEquals("close", response.header("Connection"));
            assertEquals("ends in order", -1, client.getInputStream().read());
        }
    }
}
