package trailthread.engine.socket;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.nio.ListeningTcpSocket;
import trailthread.engine.loop.EventLoop;

/**
 * Accepts connections on the event loop, up to a number of open ones.
 *
 * <p>A failed accept is repeated at once, and if it fails several times in a row, after a short
 * constant pause: connections that wait in the backlog carry requests whose time is running.
 *
 * <p>All methods but {@link #listen} and {@link #acceptFrom} are to be called on the loop's thread.
 */
public final class TcpListener {
    /** Receives accepted connections. */
    public interface AcceptHandler {
        /**
         * A connection was accepted.
         *
         * @param waitingSince the earliest time at which the client can have connected and sent
         *     what can be read now, by {@link EventLoop#now}
         */
        void accepted(StreamConnection connection, long waitingSince);
    }

    private static final Logger LOG = LoggerFactory.getLogger(TcpListener.class);

    /** How many connections are accepted before the other ready sockets are served. */
    private static final int MAX_ACCEPTS_PER_PASS = 128;

    /** After this many failures in a row, accepting pauses. */
    private static final int MAX_FAILURES_IN_A_ROW = 8;

    /** Prevents an error that lasts from using up the loop's time. */
    private static final long PAUSE_NS = 10_000_000L;

    /** An interrupted accept looks as if none waited, so at the end it is repeated. */
    private static final int CALLS_THAT_PROVE_NONE_WAITING = 3;

    private static final long LOG_INTERVAL_NS = 1_000_000_000L;
    private static final long NS_PER_MS = 1_000_000L;
    private static final long NONE_WAITING = Long.MAX_VALUE;

    private final EventLoop loop;
    private final int maxOpen;
    private final AcceptHandler handler;
    private ListeningTcpSocket socket;
    private int openCount;
    private boolean suspended;

    /** Runs at the end of a pause; null without a pause. */
    private XnioExecutor.Key pauseTimer;

    /** When the first connection that may still be waiting can have come. */
    private long waitingSince = NONE_WAITING;

    private int failuresInARow;
    private int unloggedFailures;
    private long lastLoggedAt;

    /** Runs once the socket is closed; null before {@link #finish}. */
    private Runnable onFinished;

    private boolean closed;

    /**
     * Creates a listener without a socket.
     *
     * @param maxOpen how many connections may be open; further ones wait to be accepted
     */
    public TcpListener(EventLoop loop, int maxOpen, AcceptHandler handler) {
        this.loop = loop;
        this.maxOpen = maxOpen;
        this.handler = handler;
        lastLoggedAt = loop.now() - LOG_INTERVAL_NS;
    }

    /**
     * Binds an address and accepts connections to it.
     *
     * @param backlog how many connections may wait to be accepted
     * @return the address that was bound
     * @throws IOException if the address can't be bound
     */
    public InetSocketAddress listen(InetSocketAddress address, int backlog) throws IOException {
        if (address.isUnresolved()) {
            throw new BindException("unknown host " + address.getHostString());
        }
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(address, backlog);
            acceptFrom(channel);
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(channel);
            throw e;
        }
        return socket.localAddress();
    }

    /**
     * Accepts connections from a socket that listens already.
     *
     * @throws IOException if it can't be served by the loop
     */
    public void acceptFrom(ServerSocketChannel channel) throws IOException {
        socket =
                ListeningTcpSocket.register(
                        loop.thread(),
                        channel,
                        () -> {
                            loop.beforeServingSocket();
                            loop.run(this::acceptWaiting);
                        });
        socket.resumeAccepts();
    }

    /** Accepts nothing until {@link #resume}. */
    public void suspend() {
        suspended = true;
    }

    /** Accepts again after {@link #suspend}. */
    public void resume() {
        suspended = false;
        if (!closed) {
            socket.resumeAccepts();
        }
    }

    /** Closes the socket at once; connections that wait are reset. */
    public void close() {
        closed = true;
        if (pauseTimer != null) {
            pauseTimer.remove();
            pauseTimer = null;
        }
        IoUtils.safeClose(socket);
    }

    /**
     * Accepts all connections that wait, then closes the socket.
     *
     * @param maxNs if accepting fails, or too many connections are open, the socket is closed after
     *     this time
     * @param onFinished runs when the socket is closed
     */
    public void finish(long maxNs, Runnable onFinished) {
        this.onFinished = onFinished;
        loop.schedule(maxNs, this::closeIfFinishing);
        acceptWaiting();
    }

    private void closeIfFinishing() {
        Runnable notified = onFinished;
        onFinished = null;
        if (notified != null) {
            close();
            notified.run();
        }
    }

    private boolean mayAccept() {
        return !suspended && pauseTimer == null && openCount < maxOpen;
    }

    /** Accepts the connections that wait, as far as that is possible now. */
    private void acceptWaiting() {
        int emptyCalls = 0;
        for (int calls = 0; !closed && calls < MAX_ACCEPTS_PER_PASS; calls++) {
            if (!mayAccept()) {
                waitForCapacity();
                return;
            }
            StreamConnection connection = null;
            try {
                connection = socket.accept(this::connectionClosed);
            } catch (IOException e) {
                handleFailure(e);
                continue;
            }
            if (connection != null) {
                handleAccepted(connection);
            } else if (onFinished == null || ++emptyCalls == CALLS_THAT_PROVE_NONE_WAITING) {
                waitingSince = NONE_WAITING;
                closeIfFinishing();
                return;
            }
        }
        recordWaiting();
        if (onFinished != null) {
            loop.afterSockets(this::acceptWaiting);
        }
    }

    /** Handles connections that can't be accepted now. */
    private void waitForCapacity() {
        recordWaiting();
        socket.suspendAccepts();
    }

    private void recordWaiting() {
        waitingSince = Math.min(waitingSince, loop.arrivedNotBefore());
    }

    private void handleAccepted(StreamConnection connection) {
        failuresInARow = 0;
        openCount++;
        RepeatingConduits.addTo(connection);
        try {
            handler.accepted(connection, Math.min(waitingSince, loop.arrivedNotBefore()));
        } catch (RuntimeException e) {
            LOG.error("a new connection is closed, as its handler threw an exception", e);
            IoUtils.safeClose(connection);
        }
    }

    private void handleFailure(IOException failure) {
        recordWaiting();
        log(failure);
        if (++failuresInARow == MAX_FAILURES_IN_A_ROW) {
            failuresInARow = 0;
            pauseTimer = loop.schedule(PAUSE_NS, this::endPause);
        }
    }

    private void log(IOException failure) {
        unloggedFailures++;
        if (loop.now() - lastLoggedAt >= LOG_INTERVAL_NS) {
            lastLoggedAt = loop.now();
            LOG.warn(
                    "accept fails and is repeated within {} ms: {}; {} failures since the last"
                            + " such line",
                    PAUSE_NS / NS_PER_MS,
                    failure.getMessage(),
                    unloggedFailures);
            unloggedFailures = 0;
        }
    }

    private void endPause() {
        pauseTimer = null;
        resumeIfPossible();
    }

    private void connectionClosed() {
        if (Thread.currentThread() == loop.thread()) {
            releaseConnection();
        } else {
            loop.execute(this::releaseConnection);
        }
    }

    private void releaseConnection() {
        openCount--;
        resumeIfPossible();
    }

    private void resumeIfPossible() {
        if (closed || !mayAccept()) {
            return;
        }
        if (onFinished != null) {
            loop.afterSockets(this::acceptWaiting);
        } else {
            socket.resumeAccepts();
        }
    }
}
