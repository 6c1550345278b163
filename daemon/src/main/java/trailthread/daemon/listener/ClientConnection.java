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
 * A connection from a client, and what is known of what came on it: it sees every byte that is
 * read.
 */
final class ClientConnection extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final StreamConnection connection;
    private final EventLoop loop;

    /** When it was opened or has idled from. */
    private long since;

    /** Whose call it carried last, where it matters; else null. */
    private Object owner;

    /** When the first byte of a call came that is not there whole as yet; 0: none has come. */
    private long speaksSince;

    /** Puts itself between the connection and whoever reads it. */
    ClientConnection(StreamConnection connection, EventLoop loop) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.loop = loop;
        since = loop.now();
        connection.getSourceChannel().setConduit(this);
    }

    /** The connection that an exchange came on. */
    static ClientConnection of(HttpServerExchange exchange) {
        return (ClientConnection)
                ((AbstractServerConnection) exchange.getConnection()).getOriginalSourceConduit();
    }

    long since() {
        return since;
    }

    long speaksSince() {
        return speaksSince;
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

    /** It carries no call from now on. */
    void idles(long now) {
        since = now;
        speaksSince = 0;
    }

    /** Reads what has come on it, as if it had just been found ready. */
    void serveWhatHasCome() {
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
    }

    void close() {
        IoUtils.safeClose(connection);
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        loop.servesSocket();
        return (int) came(super.read(dst));
    }

    @Override
    public long read(ByteBuffer[] dsts, int offs, int len) throws IOException {
        loop.servesSocket();
        return came(super.read(dsts, offs, len));
    }

    private long came(long count) {
        if (count > 0 && speaksSince == 0) {
            speaksSince = loop.now();
        }
        return count;
    }
}
