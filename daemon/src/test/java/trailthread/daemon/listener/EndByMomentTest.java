package trailthread.daemon.listener;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;
import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.http.ByteSink;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;
import trailthread.engine.request.RequestHandler;

/**
 * What a client sees by what its connection carries when its end comes: for a graceful shutdown,
 * and for a drain.
 */
public class EndByMomentTest {
    /** More than the system holds for a connection whose client does not read. */
    private static final int LONG = 16 * 1024 * 1024;

    private static final String LAST = "Connection: close\r\n";

    private final EventLoop loop;
    private final List<Socket> clients = new ArrayList<>();
    private final BlockingQueue<ClientResponse> replies = new LinkedBlockingQueue<>();
    private final CountDownLatch none = new CountDownLatch(1);
    private HttpListener acceptor;
    private InetSocketAddress address;
    private int lastId;

    public EndByMomentTest() throws IOException {
        loop = new EventLoop("ends");
    }

    @After
    public void end() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        loop.worker().shutdownNow();
    }

    private void listen() throws IOException {
        RequestClass use =
                new RequestClass(
                        "use",
                        10_000_000_000L,
                        0,
                        20_000_000_000L,
                        Idempotency.NOT_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0);
        acceptor =
                new HttpListener(
                        loop,
                        32,
                        32,
                        new PlatformFrontend(
                                List.of(use),
                                new RequestHandler() {
                                    @Override
                                    public Runnable take(
                                            ClientRequest call,
                                            long deadline,
                                            ClientResponse reply) {
                                        replies.add(reply);
                                        return () -> {};
                                    }

                                    @Override
                                    public boolean isOpen(String id) {
                                        return false;
                                    }
                                }),
                        MetricsRecorder.OFF);
        address = acceptor.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    private Socket connect(String first) throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(30_000);
        clients.add(client);
        send(client, first);
        return client;
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private String call() {
        return "POST /use HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: e"
                + ++lastId
                + "\r\nX-Service-Class: use\r\nX-Time-Left: 20\r\nContent-Length: 4\r\n\r\npour";
    }

    private ClientResponse taken() throws InterruptedException {
        return replies.poll(30, TimeUnit.SECONDS);
    }

    private static EndpointResponse made() {
        return EndpointResponse.of("made".getBytes(StandardCharsets.US_ASCII));
    }

    /** All that comes up to the connection's end. */
    private static String rest(Socket client) throws IOException {
        return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test
    public void aGracefulShutdown() throws Exception {
        ends(
                () -> {
                    acceptor.endWithAnswers(true);
                    acceptor.close(none::countDown);
                });
        assertTrue("the end comes", none.await(30, TimeUnit.SECONDS));
    }

    @Test
    public void aDrain() throws Exception {
        ends(
                () -> {
                    acceptor.endWithAnswers(true);
                    nowAndThen();
                });
    }

    private void nowAndThen() {
        acceptor.endUnused();
        loop.after(100_000_000L, this::nowAndThen);
    }

    private void ends(Runnable way) throws Exception {
        listen();
        Socket idle = served();
        Socket whole = served();
        Socket unread = connect(call());
        ClientResponse written = taken();
        loop.execute(() -> written.served(made()));
        Socket atEndpoint = connect(call());
        final ClientResponse waits = taken();
        Socket halfAnswered = connect(call());
        ClientResponse streams = taken();
        BlockingQueue<ByteSink> sinks = new LinkedBlockingQueue<>();
        CountDownLatch more = new CountDownLatch(1);
        loop.execute(
                () -> {
                    ByteSink sink = streams.begin(made(), LONG, more::countDown, () -> {});
                    sink.piece(ByteBuffer.wrap(new byte[LONG / 2]));
                    sinks.add(sink);
                });
        final ByteSink sink = sinks.poll(30, TimeUnit.SECONDS);
        Socket halfBody = connect(call().replace("pour", "po"));
        Socket silent = connect("");
        CountDownLatch begun = new CountDownLatch(1);
        loop.execute(
                () -> {
                    try {
                        send(whole, call()); // it lies there when the end begins
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                    way.run();
                    begun.countDown();
                });
        begun.await(30, TimeUnit.SECONDS);
        send(halfBody, "ur");
        for (int i = 0; i < 2; i++) { // that one, and the one with half a body
            ClientResponse reply = taken();
            loop.execute(() -> reply.served(made()));
        }
        assertLastAnswer("with half a body", rest(halfBody));
        assertLastAnswer("with a whole request unread", rest(whole));
        assertEquals("accepted and silent", "", rest(silent));
        assertEquals("idle", "", rest(idle));
        loop.execute(() -> waits.served(made()));
        assertLastAnswer("at a worker", rest(atEndpoint));
        assertTrue("with its answer written, not read", rest(unread).endsWith("made"));
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        Thread reads =
                new Thread(
                        () -> {
                            try {
                                halfAnswered.getInputStream().transferTo(all);
                            } catch (IOException e) {
                                throw new AssertionError(e);
                            }
                        });
        reads.start();
        assertTrue(more.await(30, TimeUnit.SECONDS));
        loop.execute(
                () -> {
                    sink.piece(ByteBuffer.wrap(new byte[LONG - LONG / 2]));
                    sink.end();
                });
        reads.join(30_000);
        assertTrue("with half an answer", all.size() > LONG);
    }

    private static void assertLastAnswer(String moment, String all) {
        assertTrue(
                moment + ": " + all,
                all.startsWith("HTTP/1.1 200") && all.contains(LAST) && all.endsWith("made"));
    }

    /** A connection that idles after a call. */
    private Socket served() throws Exception {
        Socket client = connect(call());
        ClientResponse reply = taken();
        loop.execute(() -> reply.served(made()));
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith("\r\n\r\nmade")) {
            int b = client.getInputStream().read();
            assertTrue("ended after '" + text + "'", b >= 0);
            text.append((char) b);
        }
        return client;
    }
}
