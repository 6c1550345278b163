package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** A client can tell a response that was cut off from a complete one, by HTTP alone. */
public class TruncatedResponseTest extends WithAdminServer {
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String UNTIL_CLOSE = "";
    private static final List<String> FRAMINGS = List.of(CHUNKED, UNTIL_CLOSE);
    private static final List<String> PROTOCOLS = List.of("HTTP/1.1", "HTTP/1.0");

    /** More than is buffered before the node begins to stream. */
    private static final int SENT_BYTES = 128 * 1024;

    private static final String PIECE = "x".repeat(SENT_BYTES);

    /** What a client has of a response when its connection ends. */
    private record Received(String text, boolean reset) {
        boolean isChunked() {
            return text.startsWith("HTTP/1.1 200") && text.contains(CHUNKED);
        }

        /** Whether a client takes the response as complete (RFC 9112, 6.3). */
        boolean looksComplete() {
            return isChunked() ? text.endsWith("\r\n0\r\n\r\n") : !reset;
        }
    }

    private static void sendPiece(Message request, String framing) throws IOException {
        Message.send(request.connection(), "HTTP/1.1 200 OK\r\n" + framing + "\r\n");
        boolean chunked = framing.equals(CHUNKED);
        String head = chunked ? Integer.toHexString(SENT_BYTES) + "\r\n" : "";
        Message.send(request.connection(), head + PIECE + (chunked ? "\r\n" : ""));
    }

    private Socket sendRequest(String protocol) throws IOException {
        Socket client = cluster.connect();
        String request = TestCluster.requestText("state", "", "Connection: close\r\n");
        Message.send(client, request.replace("HTTP/1.1", protocol));
        return client;
    }

    private static Received receive(Socket client) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        boolean reset = false;
        try {
            client.getInputStream().transferTo(bytes);
        } catch (SocketException e) {
            reset = true;
        }
        return new Received(bytes.toString(StandardCharsets.ISO_8859_1), reset);
    }

    /**
     * Reads until the piece that the endpoint has sent has arrived, so that streaming has begun.
     */
    private static String receivePiece(Socket client) throws IOException {
        return new String(
                client.getInputStream().readNBytes(SENT_BYTES), StandardCharsets.ISO_8859_1);
    }

    /**
     * Guards against responses that an endpoint's reset cut off and that ended like complete ones.
     */
    @Test
    public void aResponseCutOffByAnEndpointDoesNotLookComplete() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        for (String protocol : PROTOCOLS) {
            for (String framing : FRAMINGS) {
                CountDownLatch received = new CountDownLatch(1);
                endpoint.setScript(
                        request -> {
                            sendPiece(request, framing);
                            ScriptedServer.await(received);
                            request.connection().setSoLinger(true, 0);
                            request.connection().close();
                        });
                Socket client = sendRequest(protocol);
                String start = receivePiece(client);
                received.countDown();
                Received rest = receive(client);
                Received all = new Received(start + rest.text(), rest.reset());
                assertFalse(protocol + ", from " + framing, all.looksComplete());
                assertEquals(protocol.equals("HTTP/1.1"), all.isChunked());
            }
        }
    }

    /** Guards against a process that ends within responses and leaves them looking complete. */
    @Test
    public void aResponseCutOffByTheEndOfTheProcessDoesNotLookComplete() throws Exception {
        CountDownLatch killed = new CountDownLatch(1);
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(
                                request -> {
                                    sendPiece(request, CHUNKED);
                                    ScriptedServer.await(killed);
                                }));
        cluster.start(TestCluster.SETTINGS, endpoint);
        Socket current = sendRequest("HTTP/1.1");
        String currentStart = receivePiece(current);
        Socket old = sendRequest("HTTP/1.0");
        receivePiece(old);
        cluster.kill();
        cluster.exitStatus();
        Received currentRest = receive(current);
        Received all = new Received(currentStart + currentRest.text(), currentRest.reset());
        assertFalse("HTTP/1.1", all.looksComplete());
        assertTrue("HTTP/1.0", receive(old).reset());
        killed.countDown();
    }

    /** The reset is for responses that were cut off: complete ones end in order. */
    @Test
    public void aCompleteResponseLooksComplete() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        for (String protocol : PROTOCOLS) {
            for (String framing : FRAMINGS) {
                endpoint.setScript(
                        request -> {
                            sendPiece(request, framing);
                            if (framing.equals(CHUNKED)) {
                                Message.send(request.connection(), "0\r\n\r\n");
                            } else {
                                request.connection().shutdownOutput();
                            }
                        });
                Received all = receive(sendRequest(protocol));
                assertTrue(protocol + ", from " + framing, all.looksComplete());
                assertEquals(
                        protocol + ", from " + framing,
                        SENT_BYTES,
                        all.text().chars().filter(character -> character == 'x').count());
            }
        }
    }
}
