package trailthread.benchmark;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Closed-loop load, all on one thread: each connection has one request in flight and sends the next
 * one as soon as the response arrives. Counts the requests that are sent between the end of the
 * warm-up and the end of the measurement, and waits for those in flight at the end. Prints {@code
 * measuring} and {@code measured} at these two times, then the results.
 */
public final class LoadGenerator {
    private static final long SECOND_NS = 1_000_000_000;
    private static final long SELECT_TIMEOUT_MS = 20;

    /** Longer than every deadline: a request without a response by then has failed. */
    private static final long RESPONSE_TIMEOUT_NS = 5 * SECOND_NS;

    private static final int SIGNIFICANT_DIGITS = 3;

    private final InetSocketAddress address;
    private final Selector selector = Selector.open();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(16 * 1024);
    private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(512);
    private final Histogram served = new Histogram(2 * RESPONSE_TIMEOUT_NS, SIGNIFICANT_DIGITS);

    /** Starts at the clock, so that ids differ from those of earlier load generators. */
    private long lastId = System.nanoTime() << 20;

    private long measureFromNs;
    private long measureUntilNs;
    private long refused;
    private long failed;
    private long reopened;

    private LoadGenerator(int port) throws IOException {
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /**
     * Sends the requests of one measurement and prints its results.
     *
     * @param args {@code --port} on loopback, {@code --connections}, {@code --warm-up} and {@code
     *     --seconds}; both times in seconds
     */
    public static void main(String[] args) throws IOException {
        Arguments arguments =
                new Arguments(
                        Map.of("port", "8080", "connections", "16", "warm-up", "3", "seconds", "5"),
                        args);
        new LoadGenerator(arguments.integer("port"))
                .run(
                        arguments.integer("connections"),
                        arguments.integer("warm-up"),
                        arguments.integer("seconds"));
    }

    /** A connection with at most one request in flight. */
    private final class ClientConnection {
        private SocketChannel channel;
        private MessageReader response;
        private long sentNs;
        private boolean inFlight;

        void open() throws IOException {
            channel = SocketChannel.open(address);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ, this);
            response = new MessageReader();
            sendRequest();
        }

        /** Sends a request, which fails if the server has closed the connection meanwhile. */
        private void sendRequest() throws IOException {
            writeBuffer.clear();
            writeBuffer.put(
                    ("GET /bench-state HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Service-Class: bench-state\r\n"
                                    + "X-Correlation-Id: "
                                    + Long.toHexString(++lastId)
                                    + "\r\nX-Time-Left: 1.2\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            sentNs = System.nanoTime();
            inFlight = true;
            try {
                StubServers.writeWhole(channel, writeBuffer.flip());
            } catch (IOException e) {
                complete(0, false);
            }
        }

        /** Reads the response; an error on the connection fails the request in flight. */
        void readResponse() throws IOException {
            if (!inFlight) {
                channel.close(); // this connection sends no more requests
                return;
            }
            int status = 0;
            boolean keepAlive = false;
            try {
                readBuffer.clear();
                if (channel.read(readBuffer) >= 0) {
                    if (!response.read(readBuffer.flip())) {
                        return;
                    }
                    status = readBuffer.hasRemaining() ? 0 : response.status();
                    keepAlive = status > 0 && response.isKeepAlive();
                }
            } catch (IOException e) {
                status = 0;
            }
            complete(status, keepAlive);
        }

        /**
         * Ends the request in flight, with or without a response.
         *
         * @param status 0: no valid response
         */
        private void complete(int status, boolean keepAlive) throws IOException {
            long nowNs = System.nanoTime();
            inFlight = false;
            if (sentNs >= measureFromNs && sentNs < measureUntilNs) {
                count(status, nowNs - sentNs);
            }
            if (!keepAlive) {
                channel.close();
                reopened += nowNs >= measureFromNs && nowNs < measureUntilNs ? 1 : 0;
            }
            if (nowNs < measureUntilNs && keepAlive) {
                sendRequest();
            } else if (nowNs < measureUntilNs) {
                open();
            }
        }

        void failOnTimeout(long nowNs) throws IOException {
            if (inFlight && nowNs - sentNs > RESPONSE_TIMEOUT_NS) {
                complete(0, false);
            }
        }
    }

    private void count(int status, long ns) {
        switch (status) {
            case 200 -> served.recordValue(ns);
            case 429, 503 -> refused++;
            default -> failed++;
        }
    }

    private void run(int connections, int warmUpSeconds, int seconds) throws IOException {
        measureFromNs = System.nanoTime() + warmUpSeconds * SECOND_NS;
        measureUntilNs = measureFromNs + seconds * SECOND_NS;
        List<ClientConnection> clients = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            ClientConnection client = new ClientConnection();
            client.open();
            clients.add(client);
        }
        processEventsUntil(clients, measureFromNs);
        System.out.println("measuring");
        processEventsUntil(clients, measureUntilNs);
        System.out.println("measured");
        while (clients.stream().anyMatch(c -> c.inFlight)) {
            processEvents(clients);
        }
        System.out.println(
                Measurement.fromHistogram(served, refused, failed, reopened, seconds).format());
    }

    private void processEventsUntil(List<ClientConnection> clients, long endNs) throws IOException {
        while (System.nanoTime() < endNs) {
            processEvents(clients);
        }
    }

    private void processEvents(List<ClientConnection> clients) throws IOException {
        selector.select(SELECT_TIMEOUT_MS);
        for (SelectionKey key : selector.selectedKeys()) {
            ((ClientConnection) key.attachment()).readResponse();
        }
        selector.selectedKeys().clear();
        long nowNs = System.nanoTime();
        for (ClientConnection client : clients) {
            client.failOnTimeout(nowNs);
        }
    }
}
