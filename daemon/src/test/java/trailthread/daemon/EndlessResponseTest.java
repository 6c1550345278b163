package trailthread.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** A response that never ends does not outlast its request's time; one that goes on does. */
public class EndlessResponseTest extends WithAdminServer {
    private static final String TIME_LEFT_S = "1.200";
    private static final int TIME_LEFT_MS = 1_200;

    /** Allowed beyond the request's time, for a loaded machine. */
    private static final int TOLERANCE_MS = 2_000;

    private static final int PIECE_INTERVAL_MS = 50;
    private static final int PIECE_BYTES = 4 * 1024;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

    private static String chunk(String body) {
        return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
    }

    private static ScriptedServer.Script sending(String text) {
        return request -> Message.send(request.connection(), text);
    }

    private static void pause() {
        try {
            Thread.sleep(PIECE_INTERVAL_MS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static void sendByteByByte(Message request) throws IOException {
        Message.send(request.connection(), CHUNKED);
        while (true) { // until the node closes the connection
            Message.send(request.connection(), chunk("x"));
            pause();
        }
    }

    private static Map<String, ScriptedServer.Script> endlessResponses() {
        Map<String, ScriptedServer.Script> scripts = new LinkedHashMap<>();
        scripts.put("a chunk", sending(CHUNKED + chunk("short")));
        scripts.put("half a chunk", sending(CHUNKED + "64\r\nshort"));
        scripts.put("a long chunk", sending(CHUNKED + chunk("x".repeat(30_000))));
        scripts.put("no chunk", sending(CHUNKED));
        scripts.put("no length", sending(OK + "\r\nshort"));
        scripts.put("too few bytes", sending(OK + "Content-Length: 10\r\n\r\nshort"));
        scripts.put("a byte now and then", EndlessResponseTest::sendByteByByte);
        return scripts;
    }

    private Socket sendRequest() throws IOException {
        Socket client = cluster.connect();
        String request = TestCluster.requestText("use", "", "Connection: close\r\n");
        Message.send(client, request.replace("20.000", TIME_LEFT_S));
        return client;
    }

    /** Reads until the connection ends; fails if it does not in the request's time. */
    private static String readInTime(Socket client) throws IOException {
        long endAt = System.nanoTime() + (TIME_LEFT_MS + TOLERANCE_MS) * 1_000_000L;
        StringBuilder received = new StringBuilder();
        byte[] buffer = new byte[PIECE_BYTES];
        while (System.nanoTime() < endAt) {
            client.setSoTimeout(1 + (int) ((endAt - System.nanoTime()) / 1_000_000));
            int count = client.getInputStream().read(buffer);
            if (count < 0) {
                return received.toString();
            }
            received.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
        }
        throw new SocketTimeoutException("still sends");
    }

    /** Guards against clients that are left with the start of a response for ten seconds. */
    @Test
    public void aShortResponseThatNeverEndsFailsInItsRequestsTime() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        List<String> wrong = new ArrayList<>();
        for (Map.Entry<String, ScriptedServer.Script> response : endlessResponses().entrySet()) {
            endpoint.setScript(response.getValue());
            try (Socket client = sendRequest()) {
                String received = readInTime(client);
                if (!received.startsWith("HTTP/1.1 502")) {
                    wrong.add(response.getKey() + ": " + received.length() + " bytes of a 200");
                }
            } catch (IOException e) {
                wrong.add(response.getKey() + ": " + e.getMessage());
            }
        }
        assertEquals(List.of(), wrong);
    }

    /** Guards against long responses that are cut off as they are slow. */
    @Test
    public void aSlowResponseThatGoesOnIsPassedOnWhole() throws Exception {
        StringBuilder sent = new StringBuilder();
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(
                                request -> {
                                    Message.send(request.connection(), CHUNKED);
                                    for (int i = 0; i < 50; i++) {
                                        String piece = Integer.toString(i % 10).repeat(PIECE_BYTES);
                                        sent.append(piece);
                                        Message.send(request.connection(), chunk(piece));
                                        pause();
                                    }
                                    Message.send(request.connection(), "0\r\n\r\n");
                                }));
        cluster.start(TestCluster.SETTINGS, endpoint);
        try (Socket client = sendRequest()) {
            Message response = Message.read(client);
            assertEquals(OK.trim(), response.startLine());
            assertEquals(sent.toString(), response.body());
        }
    }
}
