package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** Every client gets a response if ten times as many connect as there is capacity for. */
public class CrowdTest {
    private static final int CLIENTS = 2000;
    private static final int MIN_BATCH = 500;
    private static final int OTHER_DESCRIPTORS = 400;
    private static final int MAX_ATTEMPTS = 20;
    private static final long TIME_LIMIT_NS = 120_000_000_000L;
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\nContent-Length: *(\\d+)");

    private final TestCluster cluster;
    private final Selector selector = Selector.open();
    private int answered;

    public CrowdTest() throws Exception {
        cluster = new TestCluster();
    }

    @After
    public void end() throws Exception {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
        cluster.close();
    }

    /** A client that connects again until it has received a complete response. */
    private final class Client {
        private String received = "";
        private int attempts;

        void connect() throws IOException {
            assertTrue("too many attempts", ++attempts <= MAX_ATTEMPTS);
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), cluster.port));
            channel.register(selector, SelectionKey.OP_CONNECT, this);
        }

        void ready(SelectionKey key) throws IOException {
            SocketChannel channel = (SocketChannel) key.channel();
            try {
                if (key.isConnectable()) {
                    channel.finishConnect();
                    byte[] request =
                            TestCluster.requestText("state", "", "")
                                    .getBytes(StandardCharsets.ISO_8859_1);
                    assertEquals(
                            "sent in one write",
                            request.length,
                            channel.write(ByteBuffer.wrap(request)));
                    key.interestOps(SelectionKey.OP_READ);
                    return;
                }
                ByteBuffer buffer = ByteBuffer.allocate(4096);
                if (channel.read(buffer) >= 0) {
                    received +=
                            new String(
                                    buffer.array(),
                                    0,
                                    buffer.position(),
                                    StandardCharsets.ISO_8859_1);
                    if (isComplete()) {
                        channel.close();
                        answered++;
                    }
                    return;
                }
            } catch (IOException e) {
                // a reset counts as a close
            }
            assertEquals("closed within its response", "", received);
            channel.close();
            connect();
        }

        private boolean isComplete() {
            int head = received.indexOf("\r\n\r\n");
            Matcher length = LENGTH.matcher(received);
            if (head < 0
                    || !length.find()
                    || received.length() < head + 4 + Integer.parseInt(length.group(1))) {
                return false;
            }
            boolean rejected =
                    received.startsWith("HTTP/1.1 503 ") && received.contains("\r\nRetry-After: ");
            assertTrue(
                    received,
                    rejected
                            || (received.startsWith("HTTP/1.1 200 ")
                                    && received.endsWith("\r\n\r\nmade")));
            return true;
        }
    }

    /**
     * Idle clients use up all connections to clients, and more wait to be accepted; discovery and
     * endpoints have descriptors of their own.
     */
    @Test
    public void idleClientsAtTheDescriptorLimitBlockNeitherDiscoveryNorRequests() throws Exception {
        cluster.descriptorLimit = 128;
        cluster.discovery.setScript(request -> request.respond("503 Busy", "", ""));
        cluster.start(
                TestCluster.SETTINGS, cluster.closeAtEnd(ScriptedServer.respondingWith("before")));
        cluster.awaitLogLine("discovery answers 503");
        for (int i = 0; i < 3 * cluster.descriptorLimit; i++) {
            cluster.connect();
        }
        assertEquals("before", cluster.sendRequest("state").body());
        assertTrue(
                cluster.openDescriptorCount() + " held",
                cluster.openDescriptorCount() <= cluster.descriptorLimit);
        ScriptedServer after = cluster.closeAtEnd(ScriptedServer.respondingWith("after"));
        cluster.discovery.setScript(
                request -> {
                    TestCluster.beginWatch(request);
                    TestCluster.sendWatchLine(
                            request, TestCluster.endpointListJson(2, true, "active", after));
                });
        cluster.awaitLogLine("discovery is back, at generation 2");
        for (int i = 0; i < cluster.descriptorLimit; i++) {
            cluster.connect();
        }
        assertEquals("after", cluster.sendRequest("state").body());
        assertTrue(
                cluster.openDescriptorCount() + " held",
                cluster.openDescriptorCount() <= cluster.descriptorLimit);
    }

    @Test
    public void everyClientOfACrowdGetsACompleteResponse() throws Exception {
        cluster.descriptorLimit = 382; // 200 connections to clients
        cluster.start(
                TestCluster.SETTINGS,
                cluster.closeAtEnd(ScriptedServer.respondingWith("made")),
                cluster.closeAtEnd(ScriptedServer.respondingWith("made")));
        UnixOperatingSystemMXBean system =
                (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long free = system.getMaxFileDescriptorCount() - system.getOpenFileDescriptorCount();
        int batch = (int) Math.max(MIN_BATCH, Math.min(CLIENTS, free - OTHER_DESCRIPTORS));
        long limit = System.nanoTime() + TIME_LIMIT_NS;
        for (int started = 0; started < CLIENTS; ) {
            for (int i = 0; i < batch && started < CLIENTS; i++, started++) {
                new Client().connect();
            }
            while (answered < started) {
                assertTrue(answered + " answered of " + started, System.nanoTime() < limit);
                selector.select(
                        key -> {
                            try {
                                ((Client) key.attachment()).ready(key);
                            } catch (IOException e) {
                                throw new AssertionError(e);
                            }
                        },
                        1000);
            }
        }
        assertEquals("made", cluster.sendRequest("state").body());
    }
}
