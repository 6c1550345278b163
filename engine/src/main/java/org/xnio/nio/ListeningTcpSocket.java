package org.xnio.nio;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * A listening socket that is served by one I/O thread. Unlike XNIO's own server it can be one that
 * the process inherited, and a failed accept is passed to the caller, who decides when to accept
 * again: XNIO would wait for up to 30 s.
 *
 * <p>This is in XNIO's package, as the classes that it uses are package-private; the build pins
 * XNIO's version.
 */
public final class ListeningTcpSocket implements Closeable {
    private final WorkerThread thread;
    private final ServerSocketChannel channel;
    private final AcceptHandle handle;

    private ListeningTcpSocket(
            WorkerThread thread, ServerSocketChannel channel, Runnable onAcceptable)
            throws IOException {
        this.thread = thread;
        this.channel = channel;
        SelectionKey key = thread.registerChannel(channel);
        handle = new AcceptHandle(thread, key, onAcceptable);
        key.attach(handle);
    }

    /**
     * Registers a listening socket with an I/O thread. Nothing is reported until accepts are
     * resumed.
     *
     * @param channel bound and listening
     * @param onAcceptable runs on the thread when connections are waiting to be accepted
     * @throws IOException if it can't be made non-blocking or registered
     */
    public static ListeningTcpSocket register(
            XnioIoThread thread, ServerSocketChannel channel, Runnable onAcceptable)
            throws IOException {
        channel.configureBlocking(false);
        return new ListeningTcpSocket((WorkerThread) thread, channel, onAcceptable);
    }

    /**
     * Accepts a connection, on the I/O thread that will serve it.
     *
     * @param onClosed runs when the connection has been closed, on the thread that closed it
     * @return null if no connection is waiting, or if the call was interrupted
     * @throws IOException if none could be accepted now
     */
    public StreamConnection accept(Runnable onClosed) throws IOException {
        SocketChannel accepted = channel.accept();
        if (accepted == null) {
            return null;
        }
        try {
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = thread.registerChannel(accepted);
            return new NioSocketStreamConnection(thread, key, onClosed::run);
        } catch (IOException e) {
            accepted.close();
            throw e;
        }
    }

    /** Reports waiting connections from now on. */
    public void resumeAccepts() {
        handle.resume(SelectionKey.OP_ACCEPT);
    }

    /** Reports no waiting connections until {@link #resumeAccepts}. */
    public void suspendAccepts() {
        handle.suspend(SelectionKey.OP_ACCEPT);
    }

    /** Returns the address that the socket is bound to. */
    public InetSocketAddress localAddress() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Closes the socket; connections that are waiting are reset. */
    @Override
    public void close() throws IOException {
        channel.close();
        handle.cancelKey(false);
    }

    /** Receives the events of the socket's selection key. */
    private final class AcceptHandle extends NioHandle {
        private final Runnable onAcceptable;

        AcceptHandle(WorkerThread thread, SelectionKey key, Runnable onAcceptable) {
            super(thread, key);
            this.onAcceptable = onAcceptable;
        }

        @Override
        void handleReady(int operations) {
            onAcceptable.run();
        }

        @Override
        void forceTermination() {
            IoUtils.safeClose(ListeningTcpSocket.this);
        }

        @Override
        void terminated() {}
    }
}
