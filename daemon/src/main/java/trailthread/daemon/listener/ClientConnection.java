package trailthread.daemon.listener;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;
import trailthread.engine.loop.EventLoop;

/**
 * A connection from a client. It wraps the source conduit, and so sees every byte that is read and
 * knows when the first byte of the next request arrived.
 */
final class ClientConnection extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final long NO_BYTES = 0;
    private static final long NOT_WAITED = Long.MAX_VALUE;

    private final StreamConnection connection;
    private final EventLoop loop;

    /** When the connection was opened or last became idle. */
    private long unusedSince;

    /** The service whose request the connection carried last; null if there is only one service. */
    private Object owner;

    /** When the first byte of an incomplete request arrived; {@link #NO_BYTES} if none has. */
    private long receivingSince = NO_BYTES;

    /**
     * The earliest time at which what is being read can have arrived; {@link #NOT_WAITED} if it did
     * not wait in the backlog.
     */
    private long waitingSince = NOT_WAITED;

    /** Runs once the connection does not use the current request any more; null if it has run. */
    private Runnable onRequestEnd;

    /** Wraps the connection's source conduit; times are those of the loop, in nanoseconds. */
    ClientConnection(StreamConnection connection, EventLoop loop) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.loop = loop;
        unusedSince = loop.now();
        connection.getSourceChannel().setConduit(this);
    }

    /** Returns the connection that carries an exchange. */
    static ClientConnection fromExchange(HttpServerExchange exchange) {
        return (ClientConnection)
                ((AbstractServerConnection) exchange.getConnection()).getOriginalSourceConduit();
    }

    /** When the connection was opened or last became idle. */
    long unusedSince() {
        return unusedSince;
    }

    /** Whether bytes of an incomplete request have arrived. */
    boolean isReceiving() {
        return receivingSince != NO_BYTES;
    }

    /** When the first byte of an incomplete request arrived; 0, which is long ago, if none has. */
    long receivingSince() {
        return receivingSince;
    }

    /** Runs a task that reads what the client sent while it waited to be accepted. */
    void runWhileReadingBacklog(long waitingSince, Runnable task) {
        this.waitingSince = waitingSince;
        task.run();
        this.waitingSince = NOT_WAITED;
    }

    /**
     * Returns the earliest time at which what is read now can have arrived, by {@link
     * EventLoop#now}.
     */
    long arrivedNotBefore() {
        return Math.min(waitingSince, loop.arrivedNotBefore());
    }

    Object owner() {
        return owner;
    }

    void setOwner(Object owner) {
        this.owner = owner;
    }

    /** Sets what runs once, when the next response is written or the connection is closed. */
    void setOnRequestEnd(Runnable onRequestEnd) {
        this.onRequestEnd = onRequestEnd;
    }

    /** Records that the response has been written, or that the connection is closed. */
    void requestEnded() {
        Runnable task = onRequestEnd;
        onRequestEnd = null;
        if (task != null) {
            task.run();
        }
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    /** Records that the response to the current request has been written. */
    void markUnused(long now) {
        unusedSince = now;
        receivingSince = NO_BYTES;
    }

    /** Reads the available bytes, as if the socket had just become readable. */
    void readAvailable() {
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
    }

    void close() {
        IoUtils.safeClose(connection);
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        loop.beforeServingSocket();
        return (int) recordReceived(super.read(dst));
    }

    @Override
    public long read(ByteBuffer[] dsts, int offs, int len) throws IOException {
        loop.beforeServingSocket();
        return recordReceived(super.read(dsts, offs, len));
    }

    private long recordReceived(long count) {
        if (count > 0 && receivingSince == NO_BYTES) {
            receivingSince = loop.now();
        }
        return count;
    }
}
