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
 * A connection from a client, and when bytes of its next request began to come: as the source
 * conduit it sees every byte that is read.
 */
final class ClientConnection extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final long NO_BYTES = 0;

    private final StreamConnection connection;
    private final EventLoop loop;

    /** When it was opened, or became idle last. */
    private long unusedSince;

    /** Whose request it carried last; null if there is only one service. */
    private Object owner;

    /** When the first byte of an incomplete request came; {@link #NO_BYTES} if none has come. */
    private long receivingSince = NO_BYTES;

    /** Wraps the connection's source conduit; times are those of the loop, in nanoseconds. */
    ClientConnection(StreamConnection connection, EventLoop loop) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.loop = loop;
        unusedSince = loop.now();
        connection.getSourceChannel().setConduit(this);
    }

    /** The connection that an exchange came on. */
    static ClientConnection of(HttpServerExchange exchange) {
        return (ClientConnection)
                ((AbstractServerConnection) exchange.getConnection()).getOriginalSourceConduit();
    }

    /** When it was opened, or became idle last. */
    long unusedSince() {
        return unusedSince;
    }

    /** Whether bytes of an incomplete request have come. */
    boolean isReceiving() {
        return receivingSince != NO_BYTES;
    }

    /** When the first byte of an incomplete request came, if any has come; else long ago. */
    long receivingSince() {
        return receivingSince;
    }

    Object owner() {
        return owner;
    }

    void setOwner(Object owner) {
        this.owner = owner;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    /** Its request has ended, and it carries none from now on. */
    void becomeUnused(long now) {
        unusedSince = now;
        receivingSince = NO_BYTES;
    }

    /** Reads what has come on it, as if its socket had just become readable. */
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
        return (int) noteReceived(super.read(dst));
    }

    @Override
    public long read(ByteBuffer[] dsts, int offs, int len) throws IOException {
        loop.beforeServingSocket();
        return noteReceived(super.read(dsts, offs, len));
    }

    private long noteReceived(long count) {
        if (count > 0 && receivingSince == NO_BYTES) {
            receivingSince = loop.now();
        }
        return count;
    }
}
