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
 * HTTP servers that respond to every request with 200, at once or after a fixed delay per server,
 * all on one thread. Prints their ports in order.
 */
public final class StubServers {
    private static final int BACKLOG = 1024;
    private static final long NS_PER_MS = 1_000_000;

    private final Selector selector = Selector.open();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(16 * 1024);
    private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(512);
    private final PriorityQueue<PendingResponse> pendingResponses =
            new PriorityQueue<>(Comparator.comparingLong(PendingResponse::dueNs));

    private StubServers() throws IOException {}

    /**
     * Serves until the process is killed.
     *
     * @param args {@code --delays}: one for each server, in ms; default: four servers without delay
     */
    public static void main(String[] args) throws IOException {
        new StubServers().run(new Arguments(Map.of("delays", "0,0,0,0"), args).integers("delays"));
    }

    /** One server and its number of requests without a response. */
    private static final class Server {
        private final ServerSocketChannel channel;
        private final long delayNs;
        private int inflight;

        Server(ServerSocketChannel channel, long delayNs) {
            this.channel = channel;
            this.delayNs = delayNs;
        }
    }

    /** A connection to a server. */
    private record Connection(Server server, SocketChannel channel, MessageReader reader) {}

    /** A response and when it is due on the monotonic clock. */
    private record PendingResponse(long dueNs, Connection connection) {}

    private void run(int[] delaysMs) throws IOException {
        List<String> ports = new ArrayList<>();
        for (int delayMs : delaysMs) {
            ServerSocketChannel channel = ServerSocketChannel.open();
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
            channel.configureBlocking(false);
            channel.register(
                    selector, SelectionKey.OP_ACCEPT, new Server(channel, delayMs * NS_PER_MS));
            ports.add(Integer.toString(channel.socket().getLocalPort()));
        }
        System.out.println("stub servers serve on " + String.join(",", ports));
        while (true) {
            if (pendingResponses.isEmpty()) {
                selector.select(this::ready);
            } else {
                long waitMs =
                        Math.max(
                                        0,
                                        pendingResponses.peek().dueNs
                                                - System.nanoTime()
                                                + NS_PER_MS
                                                - 1)
                                / NS_PER_MS;
                if (waitMs > 0) {
                    selector.select(this::ready, waitMs);
                } else {
                    selector.selectNow(this::ready);
                }
            }
            while (!pendingResponses.isEmpty()
                    && pendingResponses.peek().dueNs <= System.nanoTime()) {
                respond(pendingResponses.poll().connection);
            }
        }
    }

    private void ready(SelectionKey key) {
        if (key.attachment() instanceof Server server) {
            accept(server);
        } else {
            read((Connection) key.attachment());
        }
    }

    private void accept(Server server) {
        try {
            SocketChannel channel = server.channel.accept();
            if (channel != null) {
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                channel.register(
                        selector,
                        SelectionKey.OP_READ,
                        new Connection(server, channel, new MessageReader()));
            }
        } catch (IOException e) {
            System.out.println("accepting a connection failed: " + e);
        }
    }

    private void read(Connection connection) {
        readBuffer.clear();
        try {
            if (connection.channel.read(readBuffer) < 0) {
                connection.channel.close();
                return;
            }
            readBuffer.flip();
            while (readBuffer.hasRemaining() && connection.reader.read(readBuffer)) {
                connection.server.inflight++;
                if (connection.server.delayNs == 0) {
                    respond(connection);
                } else {
                    pendingResponses.add(
                            new PendingResponse(
                                    System.nanoTime() + connection.server.delayNs, connection));
                }
            }
        } catch (IOException e) {
            close(connection); // killing the program under test resets its connections
        }
    }

    private void respond(Connection connection) {
        int inflight = --connection.server.inflight;
        if (!connection.channel.isOpen()) {
            return;
        }
        String load = "{\"inflight\":" + inflight + ",\"queue\":0}";
        String body =
                connection.reader.startLine().startsWith("GET /status/load ") ? load : "served";
        writeBuffer.clear();
        writeBuffer.put(
                ("HTTP/1.1 200 OK\r\nX-Backend-Load: "
                                + load
                                + "\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body)
                        .getBytes(StandardCharsets.ISO_8859_1));
        try {
            writeWhole(connection.channel, writeBuffer.flip());
            if (!connection.reader.isKeepAlive()) {
                connection.channel.close();
            }
        } catch (IOException e) {
            close(connection);
        }
    }

    /**
     * Writes a message that always fits into the socket's send buffer, as a connection carries one
     * message at a time.
     */
    static void writeWhole(SocketChannel channel, ByteBuffer message) throws IOException {
        channel.write(message);
        if (message.hasRemaining()) {
            throw new IOException("message does not fit into the send buffer");
        }
    }

    private static void close(Connection connection) {
        try {
            connection.channel.close();
        } catch (IOException e) {
            System.out.println("closing a connection failed: " + e);
        }
    }
}
