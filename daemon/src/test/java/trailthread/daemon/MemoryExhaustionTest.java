package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** More messages at once than the heap holds: requests are rejected, and none goes unanswered. */
public class MemoryExhaustionTest extends WithAdminServer {
    private static final int BODY_BYTES = 60 * 1024;
    private static final int CHUNK_BYTES = 16 * 1024;
    private static final int CHUNKS_PER_RESPONSE = 512;
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
    private static final int STATUS_LINE_BYTES = "HTTP/1.1 200".length();

    /** Fewer than the connections to endpoints that the node allows itself. */
    private static final int SLOW_READERS = 380;

    /** Fewer than the connections from clients that the node allows itself. */
    private static final int UPLOADS = 540;

    private static final int HEAP_MEGABYTES = 32;
    private static final int BLOCKED_MS = 500;

    private final AtomicLong chunksWritten = new AtomicLong();

    private static String request() {
        return TestCluster.requestText("use", "", "")
                .replaceFirst("(?s)4\r\n\r\npour", BODY_BYTES + "\r\n\r\n");
    }

    private Socket connect() throws IOException {
        Socket client = cluster.closeAtEnd(new Socket());
        client.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        client.setSoTimeout(1000 * ScriptedServer.TIMEOUT_S);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), cluster.port));
        return client;
    }

    /** Reads the start of each response; counts the responses by status. */
    private static Map<String, Integer> statuses(List<Socket> clients) throws IOException {
        Map<String, Integer> counts = new TreeMap<>();
        for (Socket client : clients) {
            byte[] start = client.getInputStream().readNBytes(STATUS_LINE_BYTES);
            assertEquals("closed without a response", STATUS_LINE_BYTES, start.length);
            counts.merge(new String(start, 9, 3, StandardCharsets.US_ASCII), 1, Integer::sum);
        }
        return counts;
    }

    private void respondWithManyChunks(Message request) throws IOException {
        String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
        Message.send(request.connection(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < CHUNKS_PER_RESPONSE; i++) {
            Message.send(request.connection(), chunk);
            chunksWritten.incrementAndGet();
        }
        Message.send(request.connection(), "0\r\n\r\n");
    }

    /** Waits until the endpoint can write no more, as all buffers up to the clients are full. */
    private void awaitEndpointBlocked() throws InterruptedException {
        long before = -1;
        for (long now = chunksWritten.get(); now != before; now = chunksWritten.get()) {
            before = now;
            Thread.sleep(BLOCKED_MS);
        }
    }

    /** Guards against an OutOfMemoryError that ended the node, and lost what it had taken. */
    @Test
    public void slowReadersOfLongResponsesDoNotExhaustTheHeap() throws Exception {
        cluster.descriptorLimit = 1024;
        cluster.maxHeapMegabytes = HEAP_MEGABYTES;
        ScriptedServer endpoint =
                cluster.closeAtEnd(new ScriptedServer(this::respondWithManyChunks));
        cluster.start(TestCluster.SETTINGS, endpoint);
        List<Socket> clients = new ArrayList<>();
        String body = "x".repeat(BODY_BYTES);
        for (int i = 0; i < SLOW_READERS; i++) {
            Socket client = connect();
            Message.send(client, request() + body);
            clients.add(client);
            endpoint.requests.clear();
        }
        Map<String, Integer> statuses = statuses(clients);
        assertTrue("" + statuses, statuses.keySet().stream().allMatch("200 503"::contains));
        assertTrue("some are served: " + statuses, statuses.containsKey("200"));
        awaitEndpointBlocked();
        for (Socket client : clients) {
            client.close();
        }
        cluster.awaitMetricLine("/metrics", "trailthread_message_memory_bytes 0.0");
        endpoint.setScript(request -> request.respond("200 OK", "", "made"));
        assertEquals("made", cluster.sendRequest("state").body());
    }

    /** Guards against an OutOfMemoryError by bodies that each are short enough to be buffered. */
    @Test
    public void shortBodiesThatArriveAtOnceDoNotExhaustTheHeap() throws Exception {
        cluster.descriptorLimit = 1024;
        cluster.maxHeapMegabytes = HEAP_MEGABYTES;
        CountDownLatch allSent = new CountDownLatch(1);
        ScriptedServer endpoint =
                cluster.closeAtEnd(ScriptedServer.respondingAfter(allSent, "made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        List<Socket> clients = new ArrayList<>();
        String allButLast = "x".repeat(BODY_BYTES - 1);
        for (int i = 0; i < UPLOADS; i++) {
            Socket client = connect();
            Message.send(client, request() + allButLast);
            clients.add(client);
        }
        for (Socket client : clients) {
            Message.send(client, "x");
            endpoint.requests.clear();
        }
        allSent.countDown();
        Map<String, Integer> statuses = statuses(clients);
        assertTrue("" + statuses, statuses.keySet().stream().allMatch("200 503"::contains));
        assertTrue("some are served: " + statuses, statuses.containsKey("200"));
        assertEquals("made", cluster.sendRequest("state").body());
        cluster.awaitMetricLine("/metrics", "trailthread_message_memory_bytes 0.0");
    }
}
