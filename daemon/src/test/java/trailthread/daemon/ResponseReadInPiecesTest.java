package trailthread.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** A long response reaches a client whole that reads it in pieces, seconds apart. */
public class ResponseReadInPiecesTest extends WithAdminServer {
    private static final int LENGTH = 12 * 1024 * 1024;
    private static final int SLOW_FOR_S = 26;
    private static final int RECEIVE_BUFFER_BYTES = 128 * 1024;

    private final ExecutorService clients = Executors.newCachedThreadPool();

    /** How a client reads: a piece, a pause, and so on; then the rest without a pause. */
    private record Pace(int pieceBytes, int pauseMs) {}

    @After
    public void stopClients() {
        clients.shutdownNow();
    }

    private static void respond(Message request) throws IOException {
        if (request.startLine().contains("short")) {
            request.respond("200 OK", "", "brief");
            return;
        }
        OutputStream out = request.connection().getOutputStream();
        boolean chunked = request.startLine().contains("chunked");
        String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + LENGTH;
        Message.send(request.connection(), "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
        byte[] piece = "x".repeat(64 * 1024).getBytes(StandardCharsets.US_ASCII);
        for (int sent = 0; sent < LENGTH; sent += piece.length) {
            out.write(chunked ? "10000\r\n".getBytes(StandardCharsets.US_ASCII) : new byte[0]);
            out.write(piece);
            out.write(chunked ? "\r\n".getBytes(StandardCharsets.US_ASCII) : new byte[0]);
        }
        out.write(chunked ? "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII) : new byte[0]);
    }

    private void startNode() throws Exception {
        ScriptedServer endpoint =
                cluster.closeAtEnd(new ScriptedServer(ResponseReadInPiecesTest::respond));
        cluster.start(TestCluster.SETTINGS, endpoint);
    }

    private Socket connect() throws IOException {
        Socket client = cluster.closeAtEnd(new Socket());
        client.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), cluster.port));
        client.setSoTimeout(1000 * ScriptedServer.TIMEOUT_S);
        return client;
    }

    /** Returns whether the client receives all, up to this text, before the connection ends. */
    private boolean receivesAll(String request, Pace pace, String end) throws Exception {
        Socket client = connect();
        Message.send(client, request);
        InputStream in = client.getInputStream();
        long startedAt = System.nanoTime();
        long received = 0;
        String last = "";
        try {
            byte[] piece = in.readNBytes(pace.pieceBytes());
            while (piece.length > 0) {
                received += piece.length;
                last = new String(piece, StandardCharsets.ISO_8859_1);
                if (System.nanoTime() - startedAt < TimeUnit.SECONDS.toNanos(SLOW_FOR_S)) {
                    Thread.sleep(pace.pauseMs());
                }
                piece = in.readNBytes(pace.pieceBytes());
            }
        } catch (IOException e) {
            return false;
        }
        return received > LENGTH && last.endsWith(end);
    }

    private static String lastRequest(String query) {
        return TestCluster.requestText("state", query, "Connection: close\r\n");
    }

    /**
     * Guards against a cut of clients that read, as the send buffer hides what they read, and
     * against a client that reads nothing and holds a server's connection for ever.
     */
    @Test
    public void onlyAClientThatReadsNothingIsCutOff() throws Exception {
        startNode();
        Message.send(connect(), lastRequest("")); // reads nothing
        String http10 = lastRequest("").replace("HTTP/1.1", "HTTP/1.0");
        String pipelined = TestCluster.requestText("state", "", "") + lastRequest("?short");
        Pace steady = new Pace(64 * 1024, 2000);
        List<Callable<Boolean>> readers =
                List.of(
                        () -> receivesAll(lastRequest(""), steady, "x"),
                        () -> receivesAll(lastRequest(""), new Pace(16 * 1024, 500), "x"),
                        () -> receivesAll(lastRequest("?chunked"), new Pace(65_536, 4000), "\r\n"),
                        () -> receivesAll(http10, steady, "x"),
                        () -> receivesAll(pipelined, steady, "brief"));
        List<Boolean> whole = new ArrayList<>();
        for (Future<Boolean> isWhole : clients.invokeAll(readers)) {
            whole.add(isWhole.get());
        }
        assertEquals(List.of(true, true, true, true, true), whole);
        cluster.awaitLogLine("it has read nothing for 32 s");
    }
}
