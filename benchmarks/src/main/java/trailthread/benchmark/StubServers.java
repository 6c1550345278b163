package trailthread.benchmark;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Workers that answer every request with 200 at once, or after a delay of their own; all on one
 * thread. They print the ports that they serve on, in order.
 */
public final class StubServers {
    private static final int BACKLOG = 1024;
    private static final long MS = 1_000_000;

    private final Selector selector = Selector.open();
    private final ByteBuffer in = ByteBuffer.allocateDirect(16 * 1024);
    private final ByteBuffer out = ByteBuffer.allocateDirect(512);
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::at));

    private StubServers() throws IOException {}

    /**
     * Serves until it is ended.
     *
     * @param args {@code --delays}, in ms, one for each worker; four instant ones if not given
     */
    public static void main(String[] args) throws IOException {
        new StubServers().run(new Arguments(Map.of("delays", "0,0,0,0"), args).list("delays"));
    }

    /** One worker and how many requests it has not answered. */
    private static final class Worker {
        private final ServerSocketChannel server;
        private final long delayNs;
        private int inflight;

        Worker(ServerSocketChannel server, long delayNs) {
            this.server = server;
            this.delayNs = delayNs;
        }
    }

    /** A connection to a worker. */
    private record Connection(Worker worker, SocketChannel channel, MessageReader request) {}

    /** An answer and when it is to go, by the monotonic clock. */
    private record Due(long at, Connection connection) {}

    private void run(int[] delaysMs) throws IOException {
        List<String> ports = new ArrayList<>();
        for (int delayMs : delaysMs) {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT, new Worker(server, delayMs * MS));
            ports.add(Integer.toString(server.socket().getLocalPort()));
        }
        System.out.println("workers serve on " + String.join(",", ports));
        while (true) {
            if (due.isEmpty()) {
                selector.select(this::ready);
            } else {
                long waitMs = Math.max(0, due.peek().at - System.nanoTime() + MS - 1) / MS;
                if (waitMs > 0) {
                    selector.select(this::ready, waitMs);
                } else {
                    selector.selectNow(this::ready);
                }
            }
            while (!due.isEmpty() && due.peek().at <= System.nanoTime()) {
                answer(due.poll().connection);
            }
        }
    }

    private void ready(SelectionKey key) {
        if (key.attachment() instanceof Worker worker) {
            accept(worker);
        } else {
            read((Connection) key.attachment());
        }
    }

    private void accept(Worker worker) {
        try {
            SocketChannel channel = worker.server.accept();
            if (channel != null) {
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                channel.register(
                        selector,
                        SelectionKey.OP_READ,
                        new Connection(worker, channel, new MessageReader()));
            }
        } catch (IOException e) {
            System.out.println("a connection was lost: " + e);
        }
    }

    private void read(Connection from) {
        in.clear();
        try {
            if (from.channel.read(in) < 0) {
                from.channel.close();
                return;
            }
            in.flip();
            while (in.hasRemaining() && from.request.read(in)) {
                from.worker.inflight++;
                if (from.worker.delayNs == 0) {
                    answer(from);
                } else {
                    due.add(new Due(System.nanoTime() + from.worker.delayNs, from));
                }
            }
        } catch (IOException e) {
            close(from); // a program under test that was ended resets its connections
        }
    }

    private void answer(Connection to) {
        int inflight = --to.worker.inflight;
        if (!to.channel.isOpen()) {
            return;
        }
        String load = "{\"inflight\":" + inflight + ",\"queue\":0}";
        String body = to.request.startLine().startsWith("GET /status/load ") ? load : "served";
        out.clear();
        out.put(
                ("HTTP/1.1 200 OK\r\nX-Backend-Load: "
                                + load
                                + "\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body)
                        .getBytes(StandardCharsets.ISO_8859_1));
        try {
            writeWhole(to.channel, out.flip());
            if (!to.request.isLasting()) {
                to.channel.close();
            }
        } catch (IOException e) {
            close(to);
        }
    }

    /**
     * Writes a message for which there is always room, as one at a time is under way on a
     * connection.
     */
    static void writeWhole(SocketChannel channel, ByteBuffer message) throws IOException {
        channel.write(message);
        if (message.hasRemaining()) {
            throw new IOException("no room for one message");
        }
    }

    private static void close(Connection connection) {
        try {
            connection.channel.close();
        } catch (IOException e) {
            System.out.println("a connection was lost: " + e);
        }
    }
}
