package trailthread.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.Before;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** A long response that makes progress is passed on whole after SIGTERM; then the process ends. */
public class LongResponseAtShutdownTest extends WithAdminServer {
    private static final int PIECE_BYTES = 64 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 128 * 1024;

    /** The process used to end 2.2 s after SIGTERM. */
    private static final String SHORT_DEADLINES =
            TestCluster.SETTINGS.replace("20000000000", "500000000");

    @Before
    public void checkSettings() {
        assertEquals(3, SHORT_DEADLINES.split("\"deadline_ns\":500000000", -1).length - 1);
    }

    private static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Starts a node and a server that responds with pieces and a pause before each. */
    private void startNode(int pieces, int pauseMs) throws Exception {
        startNode(
                request -> {
                    sendHead(request, pieces);
                    sendPieces(request, pieces, pauseMs);
                });
    }

    private void startNode(ScriptedServer.Script script) throws Exception {
        cluster.start(SHORT_DEADLINES, cluster.closeAtEnd(new ScriptedServer(script)));
    }

    private static void sendHead(Message request, int pieces) throws IOException {
        String length = "Content-Length: " + pieces * PIECE_BYTES;
        Message.send(request.connection(), "HTTP/1.1 200 OK\r\n" + length + "\r\n\r\n");
    }

    private static void sendPieces(Message request, int pieces, int pauseMs) throws IOException {
        OutputStream out = request.connection().getOutputStream();
        for (int i = 0; i < pieces; i++) {
            pause(pauseMs);
            out.write(new byte[PIECE_BYTES]);
        }
    }

    /** Requests a response, sends SIGTERM once its head has come, and reads it to its end. */
    private long bytesReceivedAcrossSigterm(int pauseMs, int slowPieces) throws Exception {
        Socket client = cluster.closeAtEnd(new Socket());
        client.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), cluster.port));
        client.setSoTimeout(1000 * ScriptedServer.TIMEOUT_S);
        Message.send(client, TestCluster.requestText("state", "", "").replace("20.000", "0.5"));
        InputStream in = client.getInputStream();
        String head = "";
        while (!head.endsWith("\r\n\r\n")) {
            head += (char) in.read();
        }
        assertEquals("HTTP/1.1 200 OK", head.substring(0, head.indexOf('\r')));
        cluster.terminate();
        long received = 0;
        byte[] piece = in.readNBytes(PIECE_BYTES);
        for (int i = 0; piece.length > 0; i++) {
            received += piece.length;
            if (i < slowPieces) {
                pause(pauseMs);
            }
            piece = in.readNBytes(PIECE_BYTES);
        }
        return received;
    }

    /** Guards against a process that ends by its own clock while a server still responds. */
    @Test
    public void aResponseThatIsSentSlowlyIsWholeAfterSigterm() throws Exception {
        int pieces = 6;
        startNode(pieces, 1_000);
        assertEquals((long) pieces * PIECE_BYTES, bytesReceivedAcrossSigterm(0, 0));
        assertEquals(0, cluster.exitStatus());
        cluster.awaitLogLine("all connections closed");
    }

    /** Guards against a process that ends by its own clock while a client still reads. */
    @Test
    public void aResponseThatIsReadSlowlyIsWholeAfterSigterm() throws Exception {
        int pieces = 192; // 12 MiB, more than the sockets hold
        startNode(pieces, 0);
        assertEquals((long) pieces * PIECE_BYTES, bytesReceivedAcrossSigterm(2_000, 3));
        assertEquals(0, cluster.exitStatus());
    }

    /** Guards against a process that waits for a server that sends no more. */
    @Test
    public void theProcessEndsAfterAResponseThatStops() throws Exception {
        CountDownLatch testEnds = new CountDownLatch(1);
        startNode(
                request -> {
                    sendHead(request, 100);
                    sendPieces(request, 2, 100);
                    ScriptedServer.await(testEnds);
                });
        assertEquals(2L * PIECE_BYTES, bytesReceivedAcrossSigterm(0, 0));
        assertEquals(0, cluster.exitStatus());
        testEnds.countDown();
    }
}
