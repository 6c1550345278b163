package trailthread.daemon.listener;

import io.undertow.UndertowOptions;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.socket.TcpListener;

/**
 * Accepts clients' HTTP connections, closes them when they are unused or the node shuts down, and
 * tracks whether the node is ready for clients.
 */
public final class HttpListener {
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int BACKLOG = 1024;

    /** Undertow's value for a body of any length; {@link BodyReader} bounds it. */
    private static final long UNBOUNDED_ENTITY = -1;

    /** How long the connections that wait are accepted before the listening socket is closed. */
    private static final long ACCEPT_GRACE_NS = 100_000_000L;

    private final EventLoop loop;
    private final ClientConnections connections;
    private final RequestReceiver receiver;
    private final int maxConnections;
    private final HttpOpenListener http;
    private TcpListener tcpListener;

    /** Whether other processes also accept from the listening socket. */
    private boolean shared;

    private boolean ready;
    private boolean drained;

    /**
     * Makes a listener; {@link #listen} or {@link #listenOnInherited} follows.
     *
     * @param maxConnections how many connections may be open; further ones wait to be accepted
     * @param maxActiveClients how many connections clients with requests may hold; unused
     *     connections are closed when open ones exceed shares of it
     */
    public HttpListener(
            EventLoop loop,
            int maxConnections,
            int maxActiveClients,
            RequestFrontend frontend,
            MetricsRecorder metrics) {
        this.loop = loop;
        this.maxConnections = maxConnections;
        connections = new ClientConnections(loop, maxActiveClients);
        receiver = new RequestReceiver(loop, connections, frontend, this::isReady, metrics);
        http = httpListener();
    }

    /**
     * Listens on an address, and returns the address that was bound.
     *
     * @throws IOException if the address can't be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        tcpListener = new TcpListener(loop, maxConnections, this::accepted);
        return tcpListener.listen(address, BACKLOG);
    }

    /**
     * Accepts from an inherited listening socket, which other processes also hold, and closes the
     * listening socket opened before. The inherited socket is never closed here, as Java would then
     * detach the standard streams, and the log with them.
     *
     * @throws IOException if the socket can't be accepted from
     */
    public void listenOnInherited(ServerSocketChannel inherited) throws IOException {
        tcpListener.close();
        tcpListener = new TcpListener(loop, maxConnections, this::accepted);
        tcpListener.acceptFrom(inherited);
        shared = true;
    }

    /**
     * Stops accepting if other processes accept from the same socket.
     *
     * @return whether other processes accept from it
     */
    public boolean stopAcceptingIfShared() {
        if (shared) {
            tcpListener.suspend();
        }
        return shared;
    }

    private HttpOpenListener httpListener() {
        HttpOpenListener open =
                new HttpOpenListener(
                        loop.buffers(),
                        OptionMap.builder()
                                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                                .set(UndertowOptions.MAX_ENTITY_SIZE, UNBOUNDED_ENTITY)
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                                .set(UndertowOptions.DECODE_URL, false)
                                .getMap());
        open.setRootHandler(receiver);
        return open;
    }

    private void accepted(StreamConnection connection, long waitingSince) {
        ClientConnection client = connections.opened(connection);
        connection.setCloseListener(closed -> connections.closed(client));
        // reads what the client has sent while it waited
        client.runWhileReadingBacklog(waitingSince, () -> http.handleEvent(connection));
    }

    /**
     * Replaces the frontend. A request whose body is still being read is decoded again with the new
     * one when it is complete.
     */
    public void setFrontend(RequestFrontend frontend) {
        receiver.setFrontend(frontend);
    }

    /** Whether clients may be sent to this node: it is ready and not drained. */
    public boolean isReady() {
        return ready && !drained;
    }

    /** Sets whether the node is drained: it then counts as not ready for new clients. */
    public void setDrained(boolean drained) {
        this.drained = drained;
    }

    /**
     * Closes connections that carry no request, without losing requests that have been sent. A new
     * connection has time to send its first request.
     */
    public void closeUnused() {
        connections.closeUnused();
    }

    /** The number of connections by state. */
    public Map<String, Integer> connectionsByState() {
        return connections.byState();
    }

    /** Returns how many bytes of the memory budget requests and responses hold. */
    public long messageMemoryBytes() {
        return receiver.messageMemoryBytes();
    }

    /** Sets whether the node is able to serve clients. */
    public void setReady(boolean ready) {
        this.ready = ready;
    }

    /**
     * Sets whether connections are closed after their next response, so that clients connect to
     * another node.
     */
    public void setCloseAfterResponse(boolean enabled) {
        connections.setCloseAfterResponse(enabled);
    }

    /**
     * Stops accepting, and closes the open connections: idle ones at once, the others after their
     * responses, see {@link #setCloseAfterResponse}.
     *
     * @param onClosed runs when no connection is open any more
     */
    public void close(Runnable onClosed) {
        Runnable closeConnections = () -> connections.closeAll(onClosed);
        if (stopAcceptingIfShared()) {
            closeConnections.run();
        } else {
            tcpListener.finish(ACCEPT_GRACE_NS, closeConnections);
        }
    }
}
