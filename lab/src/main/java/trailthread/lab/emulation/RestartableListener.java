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

/** A listener on loopback that can be closed and reopened on the same port. */
final class RestartableListener implements EmulationLoop.ChannelHandler, Closeable {
    private static final int BACKLOG = 1024;
    private static final int MAX_ACCEPTS_PER_EVENT = 64;

    private final EmulationLoop loop;
    private final Consumer<SocketChannel> onAccepted;
    private final int port;
    private ServerSocketChannel channel;

    /**
     * @param port 0 for any free port
     */
    RestartableListener(EmulationLoop loop, int port, Consumer<SocketChannel> onAccepted)
            throws IOException {
        this.loop = loop;
        this.onAccepted = onAccepted;
        listen(port);
        this.port = ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    private void listen(int localPort) throws IOException {
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), localPort), BACKLOG);
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
        for (int i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
            SocketChannel client = channel.accept();
            if (client == null) {
                return;
            }
            onAccepted.accept(client);
        }
    }

    /** Listens again on the same port if this listener was closed. */
    void reopen() throws IOException {
        if (!channel.isOpen()) {
            listen(port);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
