package trailthread.engine.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.nio.ConnectingTcpSocket;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.socket.RepeatingConduits;

/** Opens one {@link HttpConnection}; the connect can be cancelled until it is established. */
public final class HttpConnector {
    private static final Logger LOG = LoggerFactory.getLogger(HttpConnector.class);

    private final EventLoop loop;
    private final CpuAccount account;
    private final ConnectionListener listener;
    private final Consumer<HttpConnection> onOpen;

    /** The socket that is being connected, or null. */
    private ConnectingTcpSocket socket;

    private boolean cancelled;

    private HttpConnector(
            EventLoop loop,
            CpuAccount account,
            ConnectionListener listener,
            Consumer<HttpConnection> onOpen) {
        this.loop = loop;
        this.account = account;
        this.listener = listener;
        this.onOpen = onOpen;
    }

    /**
     * Opens a connection. To be called on the loop's thread.
     *
     * @param account is charged with the time spent on reading the connection
     * @param listener receives the events of an established connection
     * @param onOpen receives the connection, or null if it could not be established; never from
     *     within this call
     * @return cancels the connect and releases its file descriptor; {@code onOpen} is not called
     *     then
     */
    public static Runnable open(
            EventLoop loop,
            InetSocketAddress server,
            CpuAccount account,
            ConnectionListener listener,
            Consumer<HttpConnection> onOpen) {
        if (server.isUnresolved()) {
            loop.execute(() -> onOpen.accept(null));
            return () -> {};
        }
        HttpConnector connector = new HttpConnector(loop, account, listener, onOpen);
        connector.start(server);
        return connector::cancel;
    }

    private void start(InetSocketAddress server) {
        SocketListener socketListener = new SocketListener();
        try {
            socket = ConnectingTcpSocket.open(loop.thread(), server, socketListener);
        } catch (IOException e) {
            socketListener.failed(e);
        }
    }

    /** Completes the connect in a task of its own. */
    private final class SocketListener implements ConnectingTcpSocket.Listener {
        @Override
        public void established(StreamConnection connection) {
            socket = null;
            RepeatingConduits.addTo(connection);
            loop.execute(() -> complete(connection));
        }

        @Override
        public void failed(IOException reason) {
            LOG.debug("a connect failed", reason);
            socket = null;
            loop.execute(() -> complete(null));
        }
    }

    private void complete(StreamConnection connection) {
        if (cancelled) {
            IoUtils.safeClose(connection);
        } else if (connection == null) {
            onOpen.accept(null);
        } else {
            onOpen.accept(new HttpConnection(loop, connection, account, listener));
        }
    }

    private void cancel() {
        cancelled = true;
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }
}
