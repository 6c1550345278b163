package trailthread.engine.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/**
 * What is on its way on one connection holds up no other, and what was not written is not said to
 * be.
 */
public class HttpConnectionTest {
    private static final int LONG = 1024 * 1024;
    private static final int SHORT_ONES = 9;

    private final EventLoop loop;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();

    public HttpConnectionTest() throws IOException {
        loop = new EventLoop("connections");
    }

    @After
    public void end() throws IOException {
        loop.worker().shutdownNow();
        server.close();
    }

    private ResponseListener hears(String name) {
        return new ResponseListener() {
            @Override
            public void sent() {
                heard.add(name + " sent");
            }

            @Override
            public void head(int status, HeaderMap headers) {}

            @Override
            public void body(ByteBuffer piece) {}

            @Override
            public void whole() {
                heard.add(name + " whole");
            }

            @Override
            public void broken(String how) {
                heard.add(name + " broken");
            }
        };
    }

    private HttpConnection connect() throws Exception {
        BlockingQueue<HttpConnection> opened = new LinkedBlockingQueue<>();
        loop.execute(
                () ->
                        HttpConnection.open(
                                loop,
                                new InetSocketAddress(
                                        server.getInetAddress(), server.getLocalPort()),
                                CpuAccount.NONE,
                                () -> {},
                                opened::add));
        return opened.poll(30, TimeUnit.SECONDS);
    }

    private static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    private String next() throws InterruptedException {
        return heard.poll(30, TimeUnit.SECONDS);
    }

    /**
     * The long one was read until it ran dry, however long that was, and before some of the others
     * by chance.
     */
    @Test
    public void shortAnswersDoNotWaitForALongOne() throws Exception {
        List<Socket> endpoints = new ArrayList<>();
        for (int i = 0; i <= SHORT_ONES; i++) {
            String name = i == 0 ? "long" : "short";
            HttpConnection connection = connect();
            endpoints.add(server.accept());
            if (i == 0) { // so that the system gives the connection room for the whole of a long
                // answer
                loop.execute(
                        () ->
                                connection.send(
                                        ascii("GET / HTTP/1.1\r\n\r\n"),
                                        16 * LONG,
                                        hears("first")));
                answer(endpoints.get(0), 16 * LONG);
                assertEquals("first sent", next());
                assertEquals("first whole", next());
            }
            loop.execute(() -> connection.send(ascii("GET / HTTP/1.1\r\n\r\n"), LONG, hears(name)));
            assertEquals(name + " sent", next());
        }
        CountDownLatch goOn = new CountDownLatch(1);
        loop.execute(
                () -> {
                    try {
                        goOn.await(30, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                });
        Thread filling =
                new Thread(
                        () -> {
                            try {
                                answer(endpoints.get(0), LONG);
                            } catch (IOException e) {
                                throw new AssertionError(e);
                            }
                        });
        filling.start();
        Thread.sleep(200); // by now it lies there, or waits for its reader
        for (Socket endpoint : endpoints.subList(1, endpoints.size())) {
            answer(endpoint, 0);
        }
        goOn.countDown();
        for (int i = 0; i < SHORT_ONES; i++) {
            assertEquals("short whole", next());
        }
        assertEquals("long whole", next());
        for (Socket endpoint : endpoints) {
            endpoint.close();
        }
    }

    private static void answer(Socket endpoint, int length) throws IOException {
        endpoint.getOutputStream()
                .write(
                        ascii(
                                        "HTTP/1.1 200 OK\r\nContent-Length: "
                                                + length
                                                + "\r\n\r\n"
                                                + "x".repeat(length))
                                .array());
    }

    /**
     * Until its end was told, an attempt whose every byte had been written passed for one that
     * never ran.
     */
    @Test
    public void aBodyOfAToldLengthIsSentWithItsLastByte() throws Exception {
        HttpConnection connection = connect();
        Socket endpoint = server.accept();
        loop.execute(
                () ->
                        connection.send(
                                ascii("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n"),
                                new ByteSource() {
                                    private boolean begun;

                                    @Override
                                    public long length() {
                                        return 4;
                                    }

                                    @Override
                                    public boolean hasBegun() {
                                        return begun;
                                    }

                                    @Override
                                    public void flowTo(ByteSink to) {
                                        begun = true;
                                        to.piece(ascii("pour")); // the end is told in a later
                                        // turn, or not at all
                                    }

                                    @Override
                                    public void more() {}

                                    @Override
                                    public void stop() {}
                                },
                                LONG,
                                hears("request")));
        String head = "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\npour";
        assertEquals(
                head,
                new String(
                        endpoint.getInputStream().readNBytes(head.length()),
                        StandardCharsets.US_ASCII));
        endpoint.close();
        assertEquals("request broken", next());
        BlockingQueue<Boolean> sent = new LinkedBlockingQueue<>();
        loop.execute(() -> sent.add(connection.isSent()));
        assertTrue(sent.poll(30, TimeUnit.SECONDS));
    }

    /** Its last byte was told as sent, and its attempt as one that may have run. */
    @Test
    public void aBodyWhoseLastWriteBreaksWasNotSent() throws Exception {
        HttpConnection connection = connect();
        Socket endpoint = server.accept();
        BlockingQueue<Boolean> sent = new LinkedBlockingQueue<>();
        loop.execute(
                () ->
                        connection.send(
                                ascii("POST / HTTP/1.1\r\n\r\n"),
                                new ByteSource() {
                                    private boolean begun;

                                    @Override
                                    public long length() {
                                        return -1;
                                    }

                                    @Override
                                    public void flowTo(ByteSink sink) {
                                        begun = true;
                                        try {
                                            endpoint.setSoLinger(true, 0);
                                            endpoint.close(); // a reset, which the next write meets
                                        } catch (IOException e) {
                                            throw new AssertionError(e);
                                        }
                                        sink.piece(ascii("one"));
                                        sink.piece(ascii("two"));
                                        sink.end();
                                        sent.add(connection.isSent());
                                    }

                                    @Override
                                    public boolean hasBegun() {
                                        return begun;
                                    }

                                    @Override
                                    public void more() {}

                                    @Override
                                    public void stop() {}
                                },
                                LONG,
                                hears("call")));
        assertFalse(sent.poll(30, TimeUnit.SECONDS));
        assertEquals("call broken", next());
    }
}
