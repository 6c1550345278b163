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
 * Clients in a closed loop, all on one thread: on each connection one call at a time, the next as
 * soon as the last has its answer. Counted are the calls begun after the warm-up and before the
 * end; what is out at the end is waited for. It prints {@code measuring} and {@code measured} at
 * both, and then its figures.
 */
public final class LoadGenerator {
    private static final long SECOND_NS = 1_000_000_000;
    private static final long LOOK_MS = 20;

    /** Past every deadline: what has no answer by then is lost. */
    private static final long GIVEN_UP_NS = 5 * SECOND_NS;

    private static final int DIGITS = 3;

    private final InetSocketAddress address;
    private final Selector selector = Selector.open();
    private final ByteBuffer in = ByteBuffer.allocateDirect(16 * 1024);
    private final ByteBuffer out = ByteBuffer.allocateDirect(512);
    private final Histogram served = new Histogram(2 * GIVEN_UP_NS, DIGITS);

    /** Ids differ from those of a generator before this one. */
    private long lastId = System.nanoTime() << 20;

    private long from;
    private long to;
    private long refused;
    private long failed;
    private long reopened;

    private LoadGenerator(int port) throws IOException {
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /**
     * Makes the calls of one turn.
     *
     * @param args {@code --port} on loopback, {@code --connections}, {@code --warm-up} and {@code
     *     --seconds}
     */
    public static void main(String[] args) throws IOException {
        Arguments arguments =
                new Arguments(
                        Map.of("port", "8080", "connections", "16", "warm-up", "3", "seconds", "5"),
                        args);
        new LoadGenerator(arguments.whole("port"))
                .run(
                        arguments.whole("connections"),
                        arguments.whole("warm-up"),
                        arguments.whole("seconds"));
    }

    /** One connection and the call that is out on it. */
    private final class Client {
        private SocketChannel channel;
        private MessageReader answer;
        private long sentAt;
        private boolean waits;

        void open() throws IOException {
            channel = SocketChannel.open(address);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ, this);
            answer = new MessageReader();
            call();
        }

        /** A connection that ended since its last answer fails the call that finds it so. */
        private void call() throws IOException {
            out.clear();
            out.put(
                    ("GET /bench-state HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Service-Class: bench-state\r\n"
                                    + "X-Correlation-Id: "
                                    + Long.toHexString(++lastId)
                                    + "\r\nX-Time-Left: 1.2\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            sentAt = System.nanoTime();
            waits = true;
            try {
                StubServers.writeWhole(channel, out.flip());
            } catch (IOException e) {
                ended(0, false);
            }
        }

        /** Reads; what breaks the connection has failed the call that was out on it. */
        void read() throws IOException {
            if (!waits) {
                channel.close(); // the turn is over for it
                return;
            }
            int status = 0;
            boolean lasting = false;
            try {
                in.clear();
                if (channel.read(in) >= 0) {
                    if (!answer.read(in.flip())) {
                        return;
                    }
                    status = in.hasRemaining() ? 0 : answer.status();
                    lasting = status > 0 && answer.isLasting();
                }
            } catch (IOException e) {
                status = 0;
            }
            ended(status, lasting);
        }

        /**
         * The call has its answer, or will have none.
         *
         * @param status 0: none
         */
        private void ended(int status, boolean lasting) throws IOException {
            long now = System.nanoTime();
            waits = false;
            if (sentAt >= from && sentAt < to) {
                count(status, now - sentAt);
            }
            if (!lasting) {
                channel.close();
                reopened += now >= from && now < to ? 1 : 0;
            }
            if (now < to && lasting) {
                call();
            } else if (now < to) {
                open();
            }
        }

        void giveUp(long now) throws IOException {
            if (waits && now - sentAt > GIVEN_UP_NS) {
                ended(0, false);
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

    private void run(int connections, int warmUp, int seconds) throws IOException {
        from = System.nanoTime() + warmUp * SECOND_NS;
        to = from + seconds * SECOND_NS;
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            Client client = new Client();
            client.open();
            clients.add(client);
        }
        workUntil(clients, from);
        System.out.println("measuring");
        workUntil(clients, to);
        System.out.println("measured");
        while (clients.stream().anyMatch(c -> c.waits)) {
            work(clients);
        }
        System.out.println(Measurement.of(served, refused, failed, reopened, seconds).format());
    }

    private void workUntil(List<Client> clients, long end) throws IOException {
        while (System.nanoTime() < end) {
            work(clients);
        }
    }

    private void work(List<Client> clients) throws IOException {
        selector.select(LOOK_MS);
        for (SelectionKey key : selector.selectedKeys()) {
            ((Client) key.attachment()).read();
        }
        selector.selectedKeys().clear();
        long now = System.nanoTime();
        for (Client client : clients) {
            client.giveUp(now);
        }
    }
}
