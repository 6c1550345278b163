package trailthread.engine.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/** Opens one {@link HttpConnection}; the connect can be cancelled until it is established. */
public final class HttpConnector {
    private static final OptionMap TCP = OptionMap.create(Options.TCP_NODELAY, true);

    private final EventLoop loop;
    private final CpuAccount account;
    private final ConnectionListener listener;
    private final Consumer<HttpConnection> onOpen;

    private final AtomicBoolean completedOrCancelled = new AtomicBoolean();

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
     * Opens a connection.
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
        IoFuture<StreamConnection> connect = loop.thread().openStreamConnection(server, null, TCP);
        connect.addNotifier(
                (done, none) -> loop.execute(() -> connector.connectCompleted(done)), null);
        return () -> connector.cancel(connect);
    }

    private void connectCompleted(IoFuture<? extends StreamConnection> connect) {
        StreamConnection connection = establishedConnection(connect);
        if (completedOrCancelled.getAndSet(true)) {
            IoUtils.safeClose(connection);
        } else if (connection == null) {
            onOpen.accept(null);
        } else {
            onOpen.accept(new HttpConnection(loop, connection, account, listener));
        }
    }

    private static StreamConnection establishedConnection(
            IoFuture<? extends StreamConnection> connect) {
        try {
            return connect.getStatus() == IoFuture.Status.DONE ? connect.get() : null;
        } catch (IOException e) {
            return null;
        }
    }

    private void cancel(IoFuture<StreamConnection> connect) {
        if (!completedOrCancelled.getAndSet(true)) {
            connect.cancel();
        }
    }
}
