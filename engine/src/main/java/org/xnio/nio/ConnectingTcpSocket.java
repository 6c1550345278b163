package org.xnio.nio;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * A socket that is being connected, on one I/O thread. Unlike XNIO's own connect it outlives a
 * check of its success that is interrupted: XNIO would close the socket and report nothing.
 *
 * <p>This is in XNIO's package, as the classes that it uses are package-private; the build pins
 * XNIO's version.
 */
public final class ConnectingTcpSocket implements Closeable {
    /** Receives the end of the connect, on the I/O thread. */
    public interface Listener {
        /** The connection is established, and the listener owns it. */
        void established(StreamConnection connection);

        /** No connection can be established, and the socket is closed. */
        void failed(IOException reason);
    }

    private final WorkerThread thread;
    private final SocketChannel channel;
    private final ConnectHandle handle;
    private final Listener listener;

    private ConnectingTcpSocket(WorkerThread thread, SocketChannel channel, Listener listener)
            throws IOException {
        this.thread = thread;
        this.channel = channel;
        this.listener = listener;
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        SelectionKey key = thread.registerChannel(channel);
        handle = new ConnectHandle(thread, key);
        key.attach(handle);
    }

    /**
     * Begins to connect.
     *
     * @param listener not called from within this call
     * @throws IOException if the system refuses at once; the listener is not called then
     */
    public static ConnectingTcpSocket open(
            XnioIoThread thread, InetSocketAddress address, Listener listener) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            ConnectingTcpSocket socket =
                    new ConnectingTcpSocket((WorkerThread) thread, channel, listener);
            socket.connect(address);
            return socket;
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(channel);
            throw e;
        }
    }

    private void connect(InetSocketAddress address) throws IOException {
        if (channel.connect(address)) {
            thread.execute(this::finishConnect);
        } else {
            handle.resume(SelectionKey.OP_CONNECT);
        }
    }

    private void finishConnect() {
        if (!channel.isOpen()) {
            return; // closed meanwhile
        }
        try {
            if (!channel.finishConnect()) {
                return; // interrupted, and reported as ready again
            }
        } catch (IOException e) {
            close();
            listener.failed(e);
            return;
        }
        handle.suspend(SelectionKey.OP_CONNECT);
        listener.established(new NioSocketStreamConnection(thread, handle.getSelectionKey(), null));
    }

    /** Gives up the connect; the listener is not called. To be called before it was. */
    @Override
    public void close() {
        handle.cancelKey(false);
        IoUtils.safeClose(channel);
    }

    /** Receives the events of the socket's selection key. */
    private final class ConnectHandle extends NioHandle {
        ConnectHandle(WorkerThread thread, SelectionKey key) {
            super(thread, key);
        }

        @Override
        void handleReady(int operations) {
            finishConnect();
        }

        @Override
        void forceTermination() {
            close();
        }

        @Override
        void terminated() {}
    }
}
