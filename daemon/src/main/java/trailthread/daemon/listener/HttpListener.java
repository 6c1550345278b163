package trailthread.daemon.listener;

import io.undertow.UndertowOptions;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.InheritedTcpServer;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;

/**
 * Accepts clients' HTTP connections, decides which of them end when, and says whether the node is
 * ready for clients.
 */
public final class HttpListener {
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int BACKLOG = 1024;

    /** Undertow's value for a body of any length; {@link BodyReader} bounds it. */
    private static final long UNBOUNDED_ENTITY = -1;

    /** A loop that is later than this may have left connections waiting to be accepted. */
    private static final long LATE_NS = 10_000_000L;

    /** For how long a late node goes on accepting before it closes its listening socket. */
    private static final long ACCEPT_GRACE_NS = 100_000_000L;

    /** How long an accepted connection may take from the accepting thread to the loop. */
    private static final long HANDOVER_NS = 20_000_000L;

    private final EventLoop loop;
    private final ClientConnections connections;
    private final RequestReceiver receiver;
    private final int maxConnections;
    private AcceptingChannel<StreamConnection> server;

    /** Whether other processes accept from the listening socket, too. */
    private boolean shared;

    private boolean ready;
    private boolean drained;

    /**
     * Makes a listener; {@link #listen} or {@link #share} follows.
     *
     * @param maxConnections how many connections may be open; further ones wait to be accepted
     * @param maxClientConnections how many connections clients with requests may hold; idle
     *     connections are closed by shares of it
     */
    public HttpListener(
            EventLoop loop,
            int maxConnections,
            int maxClientConnections,
            RequestFrontend frontend,
            MetricsRecorder metrics) {
        this.loop = loop;
        this.maxConnections = maxConnections;
        connections = new ClientConnections(loop, maxClientConnections);
        receiver = new RequestReceiver(loop, connections, frontend, this::isReady, metrics);
    }

    /**
     * Opens an address for clients, and returns the one that is bound.
     *
     * @throws IOException if the address can't be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        server =
                loop.xnioWorker()
                        .createStreamConnectionServer(address, acceptListener(), socketOptions());
        server.resumeAccepts();
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /**
     * Accepts from an inherited listening socket, which other processes hold, too, in place of the
     * address that was opened before. It is never closed here, as Java would close the process's
     * log with it.
     *
     * @throws IOException if the socket can't be accepted from
     */
    public void share(ServerSocketChannel inherited) throws IOException {
        IoUtils.safeClose(server);
        server =
                InheritedTcpServer.create(
                        inherited, loop.xnioWorker(), acceptListener(), socketOptions());
        shared = true;
        server.resumeAccepts();
    }

    /**
     * Stops accepting if other processes accept from the same socket.
     *
     * @return whether they do
     */
    public boolean stopAcceptingIfShared() {
        if (shared) {
            server.suspendAccepts();
        }
        return shared;
    }

    private OptionMap socketOptions() {
        return OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                .set(Options.CONNECTION_LOW_WATER, maxConnections)
                .getMap();
    }

    private ChannelListener<AcceptingChannel<StreamConnection>> acceptListener() {
        HttpOpenListener http =
                new HttpOpenListener(
                        loop.buffers(),
                        OptionMap.builder()
                                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                                .set(UndertowOptions.MAX_ENTITY_SIZE, UNBOUNDED_ENTITY)
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                                .set(UndertowOptions.DECODE_URL, false)
                                .getMap());
        http.setRootHandler(receiver);
        return ChannelListeners.openListenerAdapter(
                connection -> loop.run(() -> opened(connection, http)));
    }

    private void opened(StreamConnection connection, HttpOpenListener http) {
        ClientConnection client = connections.opened(connection);
        connection.setCloseListener(closed -> connections.closed(client));
        http.handleEvent(connection);
    }

    /**
     * Replaces the frontend. A request whose body is still being read is decoded again with the new
     * one when it is complete.
     */
    public void setFrontend(RequestFrontend frontend) {
        receiver.setFrontend(frontend);
    }

    /** Whether clients may be sent to this node: it is ready, and not drained. */
    public boolean isReady() {
        return ready && !drained;
    }

    /** Sets whether the node is drained: no clients are to be sent to it, ready or not. */
    public void setDrained(boolean drained) {
        this.drained = drained;
    }

    /**
     * Closes connections that carry no request, without losing one; a connection that has just been
     * opened has time to send its first.
     */
    public void closeUnused() {
        connections.closeUnused();
    }

    /** The number of connections by state. */
    public Map<String, Integer> connections() {
        return connections.byState();
    }

    /** Sets whether the node is able to serve clients. */
    public void setReady(boolean ready) {
        this.ready = ready;
    }

    /**
     * Sets whether each connection ends with its next response, so that clients connect to another
     * node.
     */
    public void closeAfterResponse(boolean end) {
        connections.closeAfterResponse(end);
    }

    /**
     * Accepts no further connections, and ends those that are open: idle ones at once, the others
     * after their request.
     *
     * @param whenDone runs when none is open any more
     */
    public void close(Runnable whenDone) {
        // The thread that accepts is late when the loop is. Connections that wait to be accepted
        // would be reset with the listening socket, and their requests lost.
        boolean late = loop.latency().latenessNs(System.nanoTime()) > LATE_NS;
        loop.schedule(late ? ACCEPT_GRACE_NS : 0, () -> stopAccepting(whenDone));
    }

    private void stopAccepting(Runnable whenDone) {
        if (!stopAcceptingIfShared()) {
            IoUtils.safeClose(server);
        }
        // The loop has yet to open what the accepting thread handed over last.
        loop.schedule(HANDOVER_NS, () -> loop.afterSockets(() -> connections.endAll(whenDone)));
    }
}
