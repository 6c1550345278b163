package trailthread.daemon;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/**
 * Responses and request bodies that are longer than the memory for them, in all framings, with slow
 * clients.
 */
public class LongMessagesTest extends WithAdminServer {
    private static final int LONG = 4_000_000;
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private static byte[] randomBytes(int count) {
        byte[] bytes = new byte[count];
        new Random(count).nextBytes(bytes);
        return bytes;
    }

    private static void writeChunks(OutputStream out, byte[] body, int chunk) throws IOException {
        for (int from = 0; from < body.length; from += chunk) {
            int count = Math.min(chunk, body.length - from);
            out.write((Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(body, from, count);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Reads the body of a response, without its framing; fails if it is not complete. */
    private static byte[] readBody(Socket client) throws IOException {
        InputStream in = client.getInputStream();
        String head = head(in);
        assertTrue(head, head.startsWith(OK));
        if (head.contains("Content-Length: ")) {
            int length =
                    Integer.parseInt(head.replaceAll("(?s).*Content-Length: (\\d+)\r\n.*", "$1"));
            byte[] body = in.readNBytes(length);
            assertEquals("truncated", length, body.length);
            return body;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(in), 16);
            body.write(in.readNBytes(size));
            line(in);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            head.append(line).append("\r\n");
        }
        return head.toString();
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("ended in " + line);
            }
            line.append(b == '\r' ? "" : String.valueOf((char) b));
        }
        return line.toString();
    }

    @Test
    public void longResponsesPassInEveryFraming() throws Exception {
        byte[] made = randomBytes(LONG);
        List<ScriptedServer.Script> forms =
                List.of(
                        request -> {
                            Message.send(
                                    request.connection(),
                                    OK + "Content-Length: " + LONG + "\r\n\r\n");
                            request.connection().getOutputStream().write(made);
                        },
                        request -> {
                            Message.send(
                                    request.connection(),
                                    OK + "Transfer-Encoding: chunked\r\n\r\n");
                            writeChunks(request.connection().getOutputStream(), made, 1000);
                            Message.send(request.connection(), "0\r\n\r\n");
                        },
                        request -> {
                            Message.send(request.connection(), OK + "\r\n");
                            request.connection().getOutputStream().write(made);
                            request.connection().shutdownOutput();
                        });
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        for (ScriptedServer.Script form : forms) {
            endpoint.setScript(form);
            Socket client = cluster.connect();
            Message.send(client, TestCluster.requestText("use", "", ""));
            endpoint.takeRequest();
            assertArrayEquals(made, readBody(client));
            endpoint.setScript(request -> request.respond("200 OK", "", "next"));
            Message.send(client, TestCluster.requestText("use", "", ""));
            assertEquals("the connection is kept alive", "next", Message.read(client).body());
            endpoint.takeRequest();
        }
    }

    @Test
    public void slowClientsGetResponsesThatExceedTheMemory() throws Exception {
        byte[] made = randomBytes(8 * LONG);
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(
                                request -> {
                                    if (request.startLine().startsWith("GET")) {
                                        request.respond("200 OK", "", "short");
                                    } else {
                                        Message.send(
                                                request.connection(),
                                                OK + "Content-Length: " + made.length + "\r\n\r\n");
                                        request.connection().getOutputStream().write(made);
                                    }
                                }));
        cluster.start(TestCluster.SETTINGS, endpoint);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) { // 192 MB, with a heap of 64 MB
            clients.add(cluster.connect());
            Message.send(clients.get(i), TestCluster.requestText("use", "", ""));
            endpoint.takeRequest();
        }
        assertEquals("others are served meanwhile", "short", cluster.sendRequest("state").body());
        clients.get(0).close();
        for (Socket client : clients.subList(1, clients.size())) {
            assertArrayEquals(made, readBody(client));
        }
        assertEquals("short", cluster.sendRequest("state").body());
    }

    @Test
    public void aTruncatedResponseIsNotComplete() throws Exception {
        byte[] made = randomBytes(LONG);
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        for (String framing :
                List.of(
                        "Content-Length: " + 2 * LONG + "\r\n",
                        "Transfer-Encoding: chunked\r\n",
                        "")) {
            endpoint.setScript(
                    request -> {
                        Message.send(request.connection(), OK + framing + "\r\n");
                        if (framing.startsWith("T")) {
                            writeChunks(request.connection().getOutputStream(), made, LONG);
                        } else {
                            request.connection().getOutputStream().write(made);
                        }
                        // Without a length, only a reset shows that the body is truncated.
                        request.connection().setSoLinger(framing.isEmpty(), 0);
                        request.connection().close();
                    });
            Socket client = cluster.connect();
            Message.send(client, TestCluster.requestText("use", "", ""));
            endpoint.takeRequest();
            try {
                readBody(client);
            } catch (IOException | AssertionError e) {
                continue;
            }
            throw new AssertionError("accepted as complete: " + framing);
        }
    }

    @Test
    public void longBodiesAreRetriedAndChunkedBodiesGetALength() throws Exception {
        String body = new String(randomBytes(LONG), StandardCharsets.ISO_8859_1);
        AtomicInteger attempts = new AtomicInteger();
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(
                                request -> {
                                    boolean first = attempts.incrementAndGet() == 1;
                                    request.respond(
                                            first ? "503 Busy" : "200 OK",
                                            first ? "X-Unprocessed: 1\r\n" : "",
                                            first ? "" : "made");
                                }));
        cluster.start(TestCluster.SETTINGS, endpoint);
        String head =
                TestCluster.requestText("use", "", "")
                        .replaceFirst("(?s)Content-Length: 4\r\n\r\npour", "");
        Socket expecting = cluster.connect();
        Message.send(
                expecting, head + "Expect: 100-continue\r\nContent-Length: " + LONG + "\r\n\r\n");
        assertEquals("HTTP/1.1 100 Continue", Message.read(expecting).startLine());
        Message.send(expecting, body);
        assertEquals(body, endpoint.takeRequest().body());
        assertEquals("sent again whole", body, endpoint.takeRequest().body());
        assertEquals("made", Message.read(expecting).body());
        Socket chunked = cluster.connect();
        Message.send(
                chunked,
                TestCluster.requestText("use", "", "")
                        .replaceFirst(
                                "(?s)Content-Length: 4\r\n\r\npour",
                                "Transfer-Encoding: chunked\r\n\r\n"));
        writeChunks(chunked.getOutputStream(), body.getBytes(StandardCharsets.ISO_8859_1), 70_000);
        Message.send(chunked, "0\r\n\r\n");
        assertEquals("made", Message.read(chunked).body());
        assertEquals(body, endpoint.takeRequest().body());
    }

    /** The head of a request, with the header that frames its body. */
    private static String head(String framing) {
        return TestCluster.requestText("use", "", "")
                        .replaceFirst("(?s)Content-Length: 4\r\n\r\npour", "")
                + framing
                + "\r\n\r\n";
    }

    /**
     * Only a buffered body can be retried, so the retry shows that the last body was buffered,
     * although the bodies of disconnected clients had used up the memory before.
     */
    @Test
    public void theMemoryOfDisconnectedClientsIsReleased() throws Exception {
        Semaphore answers = new Semaphore(0);
        Semaphore answered = new Semaphore(0);
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(
                                request -> {
                                    answers.acquireUninterruptibly();
                                    request.respond("200 OK", "", "made");
                                    answered.release();
                                }));
        cluster.start(TestCluster.SETTINGS, endpoint);
        // The memory limit allows one such body.
        String body = new String(randomBytes(3 * LONG), StandardCharsets.ISO_8859_1);
        for (int i = 0; i < 5; i++) {
            Socket leaves = cluster.connect();
            Message.send(leaves, head("Content-Length: " + body.length()) + body);
            endpoint.takeRequest();
            leaves.close();
            cluster.awaitMetricLine("app_current 0");
            answers.release();
            answered.acquireUninterruptibly();
            answers.release();
            // By the time of this response, the node has read the previous one.
            assertEquals("made", cluster.sendRequest("state").body());
            endpoint.takeRequest();
            answered.acquireUninterruptibly();
        }
        AtomicInteger attempts = new AtomicInteger();
        endpoint.setScript(
                request -> {
                    boolean first = attempts.incrementAndGet() == 1;
                    request.respond(
                            first ? "503 Busy" : "200 OK",
                            first ? "X-Unprocessed: 1\r\n" : "",
                            first ? "" : "made");
                });
        Socket client = cluster.connect();
        Message.send(client, head("Content-Length: " + body.length()) + body);
        assertEquals("made", Message.read(client).body());
        assertEquals(2, attempts.get());
    }

    @Test
    public void bodiesThatExceedTheMemoryAreStreamed() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        // Below the limit for one body, above that for all.
        byte[] longest = randomBytes(30 * 1024 * 1024);
        String body = new String(longest, StandardCharsets.ISO_8859_1);
        for (String framing :
                List.of("Content-Length: " + longest.length, "Transfer-Encoding: chunked")) {
            Socket client = cluster.connect();
            Message.send(client, head(framing));
            if (framing.startsWith("T")) {
                writeChunks(client.getOutputStream(), longest, 100_000);
                Message.send(client, "0\r\n\r\n");
            } else {
                Message.send(client, body);
            }
            assertEquals(framing, "made", Message.read(client).body());
            assertEquals(body, endpoint.takeRequest().body());
            Message.send(client, TestCluster.requestText("use", "", ""));
            assertEquals("the connection is kept alive", "made", Message.read(client).body());
            endpoint.takeRequest();
        }
        cluster.awaitMetricLine("app_sends 4");
    }

    @Test
    public void aRejectionOfAStreamedBodyIsForwardedWithoutRetry() throws Exception {
        ScriptedServer elsewhere = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS);
        CountDownLatch rejected = new CountDownLatch(1);
        try (ServerSocket early = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread thread =
                    new Thread(
                            () -> {
                                try (Socket connection = early.accept()) {
                                    head(connection.getInputStream());
                                    Message.send(
                                            connection,
                                            "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
                                    rejected.countDown();
                                    connection.getInputStream().readAllBytes();
                                } catch (IOException e) {
                                    rejected.countDown();
                                }
                            });
            thread.start();
            TestCluster.sendWatchLine(
                    cluster.discovery.takeRequest(),
                    TestCluster.endpointListJson(2, true, "active", elsewhere)
                            .replace(elsewhere.hostPort(), "127.0.0.1:" + early.getLocalPort()));
            cluster.awaitMetricLine("app_cluster_size 1");
            Socket client = cluster.connect();
            Message.send(client, head("Content-Length: " + 30 * 1024 * 1024));
            Message.send(client, "x".repeat(100_000));
            assertTrue(rejected.await(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS));
            Message rejection = Message.read(client);
            assertEquals(
                    "nothing has run, so the node rejects the request", 503, rejection.status());
            assertEquals("close", rejection.header("Connection"));
            cluster.awaitMetricLine("app_sends 0");
            cluster.awaitMetricLine("app_current 0");
        }
    }

    @Test
    public void aTruncatedBodyIsNoRequest() throws Exception {
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(request -> request.respond("200 OK", "", "made")));
        cluster.start(TestCluster.SETTINGS, endpoint);
        Socket client = cluster.connect();
        Message.send(client, head("Content-Length: " + 30 * 1024 * 1024));
        Message.send(client, "x".repeat(2_000_000));
        client.close();
        assertTrue(
                "the endpoint's connection is closed",
                endpoint.closedConnections.poll(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS)
                        != null);
        endpoint.assertNoMoreRequests();
        cluster.awaitMetricLine("app_current 0");
        assertEquals("made", cluster.sendRequest("use").body());
    }

    @Test
    public void aMalformedRequestIsNotBuffered() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        Socket malformed = cluster.connect();
        Message.send(
                malformed,
                head("Content-Length: " + LONG)
                        .replace("X-Time-Left: 20.000", "X-Time-Left: soon"));
        try {
            malformed.getOutputStream().write(randomBytes(2_000_000));
            assertEquals(
                    "the body of a malformed request is discarded for a limited time",
                    -1,
                    malformed.getInputStream().read());
        } catch (IOException e) {
            assertTrue("a reset counts as a close", !(e instanceof SocketTimeoutException));
        }
        Socket tooLong = cluster.connect();
        Message.send(tooLong, head("Content-Length: 60000000"));
        assertEquals(413, Message.read(tooLong).status());
    }
}
