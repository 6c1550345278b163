package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.Test;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** Long request bodies that a client stops sending, or that a server reads slowly. */
public class SlowUploadTest extends WithAdminServer {
    private static final int BODY_BYTES = 10_000_000;

    /** A client that stops within a request has its error, or a close, within 3 s. */
    private static final int STOPPED_CLIENT_MS = 3_000;

    /** Allowed beyond a time limit, for a loaded machine. */
    private static final int TOLERANCE_MS = 2_000;

    private static final int READ_BYTES = 20_000;
    private static final int READ_PAUSE_MS = 20;
    private static final int UPLOADS = 4;

    private Socket beginUpload(String timeLeft) throws IOException {
        Socket client = cluster.connect();
        String head =
                TestCluster.requestText("use", "", "")
                        .replace("20.000", timeLeft)
                        .replace("Content-Length: 4\r\n\r\npour", "Content-Length: " + BODY_BYTES);
        client.getOutputStream().write((head + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return client;
    }

    private static boolean isAnsweredOrClosed(Socket client) throws IOException {
        try {
            return client.getInputStream().read() >= -1;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true; // reset, as the rest of the request is not read
        }
    }

    /** Guards against a client that stops half way and holds what it has sent for minutes. */
    @Test
    public void aClientThatStopsWithinALongBodyIsNotWaitedFor() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        Socket client = beginUpload("20.000");
        client.getOutputStream().write(new byte[BODY_BYTES / 2]);
        client.setSoTimeout(STOPPED_CLIENT_MS + TOLERANCE_MS);
        assertTrue("still open", isAnsweredOrClosed(client));
        assertEquals("made", cluster.sendRequest("use").body());
    }

    /** A server that reads its requests slowly, and never answers. */
    private static final class SlowReader implements Closeable {
        private final ServerSocket server;

        SlowReader() throws IOException {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            new Thread(this::accept).start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = server.accept();
                    new Thread(() -> readSlowly(connection)).start();
                }
            } catch (IOException e) {
                // closed
            }
        }

        private static void readSlowly(Socket accepted) {
            try (Socket connection = accepted) {
                while (connection.getInputStream().readNBytes(READ_BYTES).length > 0) {
                    Thread.sleep(READ_PAUSE_MS);
                }
            } catch (IOException | InterruptedException e) {
                // the node has closed the connection
            }
        }

        int port() {
            return server.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private static String listOf(SlowReader server) {
        return "{\"generation\":1,\"reset\":true,\"instances\":[{\"instanceId\":\"slow\","
                + "\"hostPort\":\"127.0.0.1:"
                + server.port()
                + "\",\"zone\":\"a\",\"cell\":0,\"lifecycle\":\"active\",\"weight\":1.0,"
                + "\"startedAtMs\":0}]}";
    }

    private String upload() throws Exception {
        Socket client = beginUpload("0.300");
        Thread sender = new Thread(() -> sendBody(client));
        sender.start();
        byte[] start = client.getInputStream().readNBytes("HTTP/1.1 503".length());
        client.close();
        sender.join();
        return new String(start, StandardCharsets.US_ASCII);
    }

    private static void sendBody(Socket client) {
        try {
            client.getOutputStream().write(new byte[BODY_BYTES]);
        } catch (IOException e) {
            // the node answers before the end of the body
        }
    }

    /** Guards against ejecting an endpoint that reads long bodies, but not in their time. */
    @Test
    public void aServerThatReadsALongBodySlowlyIsNotEjected() throws Exception {
        cluster.maxHeapMegabytes = 16; // less than a body needs, so that bodies are streamed
        SlowReader server = cluster.closeAtEnd(new SlowReader());
        String config = cluster.config(TestCluster.SETTINGS);
        int from = config.indexOf("\"known\":") + "\"known\":".length();
        int to = config.indexOf(",\"settings\":");
        cluster.log.clear();
        cluster.runNode(config.substring(0, from) + listOf(server) + config.substring(to), "serve");
        String serving = cluster.awaitLogLine("serves on");
        cluster.port = Integer.parseInt(serving.substring(serving.lastIndexOf(':') + 1));
        for (int i = 0; i < UPLOADS; i++) {
            assertEquals("HTTP/1.1 503", upload());
        }
        List<String> blamed =
                cluster.log.stream()
                        .filter(
                                line ->
                                        line.contains("CONNECT_FAILED")
                                                || line.contains(" ejected "))
                        .toList();
        assertEquals(List.of(), blamed);
    }
}
