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
 * A long response does not hold up other connections, and a request counts as sent only if all of
 * it was written.
 */
public class HttpConnectionTest {
    private static final int LONG_BODY_BYTES = 1024 * 1024;
    private static final int SHORT_COUNT = 9;

    private final EventLoop loop;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    public HttpConnectionTest() throws IOException {
        loop = new EventLoop("connections");
    }

    @After
    public void closeLoopAndServer() throws IOException {
        loop.xnioWorker().shutdownNow();
        server.close();
    }

    private ResponseListener recorder(String name) {
        return new ResponseListener() {
            @Override
            public void requestSent() {
                events.add(name + " sent");
            }

            @Override
            public void headReceived(int status, HeaderMap headers) {}

            @Override
            public void bodyReceived(ByteBuffer piece) {}

            @Override
            public void responseCompleted() {
                events.add(name + " completed");
            }

            @Override
            public void exchangeFailed(String reason) {
                events.add(name + " failed");
            }
        };
    }

    private HttpConnection connect() throws Exception {
        BlockingQueue<HttpConnection> opened = new LinkedBlockingQueue<>();
        loop.execute(
                () ->
                        HttpConnector.open(
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

    private String nextEvent() throws InterruptedException {
        return events.poll(30, TimeUnit.SECONDS);
    }

    /** Prevents a long response from being read to its end before those on other connections. */
    @Test
    public void shortResponsesDoNotWaitForALongOne() throws Exception {
        List<Socket> endpoints = new ArrayList<>();
        for (int i = 0; i <= SHORT_COUNT; i++) {
            String name = i == 0 ? "long" : "short";
            HttpConnection connection = connect();
            endpoints.add(server.accept());
            if (i == 0) {
                // makes the system enlarge the receive buffer, so that it holds a long response
                loop.execute(
                        () ->
                                connection.send(
                                        ascii("GET / HTTP/1.1\r\n\r\n"),
                                        16 * LONG_BODY_BYTES,
                                        recorder("first")));
                respond(endpoints.get(0), 16 * LONG_BODY_BYTES);
                assertEquals("first sent", nextEvent());
                assertEquals("first completed", nextEvent());
            }
            loop.execute(
                    () ->
                            connection.send(
                                    ascii("GET / HTTP/1.1\r\n\r\n"),
                                    LONG_BODY_BYTES,
                                    recorder(name)));
            assertEquals(name + " sent", nextEvent());
        }
        CountDownLatch resumeLoop = new CountDownLatch(1);
        loop.execute(
                () -> {
                    try {
                        resumeLoop.await(30, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                });
        Thread longResponder =
                new Thread(
                        () -> {
                            try {
                                respond(endpoints.get(0), LONG_BODY_BYTES);
                            } catch (IOException e) {
                                throw new AssertionError(e);
                            }
                        });
        longResponder.start();
        Thread.sleep(200); // by now the long response is in the socket's buffers
        for (Socket endpoint : endpoints.subList(1, endpoints.size())) {
            respond(endpoint, 0);
        }
        resumeLoop.countDown();
        for (int i = 0; i < SHORT_COUNT; i++) {
            assertEquals("short completed", nextEvent());
        }
        assertEquals("long completed", nextEvent());
        for (Socket endpoint : endpoints) {
            endpoint.close();
        }
    }

    private static void respond(Socket endpoint, int length) throws IOException {
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
     * Prevents a request whose every byte was written from counting as one that was never processed
     * until the source reports its end.
     */
    @Test
    public void aBodyOfKnownLengthIsSentWithItsLastByte() throws Exception {
        HttpConnection connection = connect();
        Socket endpoint = server.accept();
        loop.execute(
                () ->
                        connection.send(
                                ascii("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n"),
                                new ByteSource() {
                                    @Override
                                    public long lastByteNotBefore() {
                                        return loop.now();
                                    }

                                    private boolean started;

                                    @Override
                                    public long length() {
                                        return 4;
                                    }

                                    @Override
                                    public boolean isStarted() {
                                        return started;
                                    }

                                    @Override
                                    public void streamTo(ByteSink sink) {
                                        started = true;
                                        // the end of the body is reported later, or never
                                        sink.writePiece(ascii("pour"));
                                    }

                                    @Override
                                    public void resume() {}

                                    @Override
                                    public void stop() {}
                                },
                                LONG_BODY_BYTES,
                                recorder("request")));
        String head = "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\npour";
        assertEquals(
                head,
                new String(
                        endpoint.getInputStream().readNBytes(head.length()),
                        StandardCharsets.US_ASCII));
        endpoint.close();
        assertEquals("request failed", nextEvent());
        BlockingQueue<Boolean> sent = new LinkedBlockingQueue<>();
        loop.execute(() -> sent.add(connection.isRequestSent()));
        assertTrue(sent.poll(30, TimeUnit.SECONDS));
    }

    /** Prevents an incomplete request from counting as one that may have been processed. */
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
                                    @Override
                                    public long lastByteNotBefore() {
                                        return loop.now();
                                    }

                                    private boolean started;

                                    @Override
                                    public long length() {
                                        return -1;
                                    }

                                    @Override
                                    public void streamTo(ByteSink sink) {
                                        started = true;
                                        try {
                                            endpoint.setSoLinger(true, 0);
                                            endpoint.close(); // a reset, so the next write fails
                                        } catch (IOException e) {
                                            throw new AssertionError(e);
                                        }
                                        sink.writePiece(ascii("one"));
                                        sink.writePiece(ascii("two"));
                                        sink.endBody();
                                        sent.add(connection.isRequestSent());
                                    }

                                    @Override
                                    public boolean isStarted() {
                                        return started;
                                    }

                                    @Override
                                    public void resume() {}

                                    @Override
                                    public void stop() {}
                                },
                                LONG_BODY_BYTES,
                                recorder("request")));
        assertFalse(sent.poll(30, TimeUnit.SECONDS));
        assertEquals("request failed", nextEvent());
    }

    /**
     * Guards against requests that hang after a task that handles their bytes threw an exception.
     */
    @Test
    public void anExceptionFailsTheExchangeAtOnce() throws Exception {
        for (String thrownBy : List.of("mayWriteRequest", "headReceived")) {
            HttpConnection connection = connect();
            Socket endpoint = server.accept();
            loop.execute(
                    () ->
                            connection.send(
                                    ascii("GET / HTTP/1.1\r\n\r\n"),
                                    LONG_BODY_BYTES,
                                    throwing(thrownBy)));
            if (thrownBy.equals("headReceived")) {
                assertEquals("request sent", nextEvent());
                respond(endpoint, 0);
            }
            assertEquals("request failed", nextEvent());
            BlockingQueue<Boolean> idle = new LinkedBlockingQueue<>();
            loop.execute(() -> idle.add(connection.isIdle()));
            assertFalse(idle.poll(30, TimeUnit.SECONDS));
            endpoint.close();
        }
    }

    /** A listener of which one method throws an exception. */
    private ResponseListener throwing(String method) {
        ResponseListener recorder = recorder("request");
        return new ResponseListener() {
            private void throwIn(String current) {
                if (current.equals(method)) {
                    throw new IllegalStateException("thrown by the test in " + current);
                }
            }

            @Override
            public boolean mayWriteRequest() {
                throwIn("mayWriteRequest");
                return true;
            }

            @Override
            public void requestSent() {
                recorder.requestSent();
            }

            @Override
            public void headReceived(int status, HeaderMap headers) {
                throwIn("headReceived");
            }

            @Override
            public void bodyReceived(ByteBuffer piece) {}

            @Override
            public void responseCompleted() {
                recorder.responseCompleted();
            }

            @Override
            public void exchangeFailed(String reason) {
                recorder.exchangeFailed(reason);
            }
        };
    }
}
