package trailthread.lab.emulation;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/** A listener on loopback that can be closed and come back at its port. */
final class RestartableListener implements EmulationLoop.Ready, Closeable {
    private static final int BACKLOG = 1024;
    private static final int MOST_AT_ONCE = 64;

    private final EmulationLoop loop;
    private final Consumer<SocketChannel> accepted;
    private final int port;
    private ServerSocketChannel channel;

    /** With port 0, at a free one. */
    RestartableListener(EmulationLoop loop, int port, Consumer<SocketChannel> accepted)
            throws IOException {
        this.loop = loop;
        this.accepted = accepted;
        listen(port);
        this.port = ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    private void listen(int at) throws IOException {
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), at), BACKLOG);
        loop.register(channel, SelectionKey.OP_ACCEPT, this);
    }

    int port() {
        return port;
    }

    String hostPort() {
        return "127.0.0.1:" + port;
    }

    @Override
    public void ready() throws IOException {
        for (int i = 0; i < MOST_AT_ONCE; i++) {
            SocketChannel client = channel.accept();
            if (client == null) {
                return;
            }
            accepted.accept(client);
        }
    }

    /** Listens again after a close. */
    void again() throws IOException {
        if (!channel.isOpen()) {
            listen(port);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
