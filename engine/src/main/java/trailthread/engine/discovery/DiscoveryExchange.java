package trailthread.engine.discovery;

import io.undertow.util.HeaderMap;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.XnioExecutor;
import trailthread.ListLease;
import trailthread.engine.http.ConnectionListener;
import trailthread.engine.http.HttpConnection;
import trailthread.engine.http.HttpConnector;
import trailthread.engine.http.RequestEncoder;
import trailthread.engine.http.ResponseListener;
import trailthread.engine.http.Surplus;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/**
 * One HTTP exchange with discovery, on a connection of its own, with its timeouts. A watch stays
 * open until it fails; a fetch ends with its first object.
 */
final class DiscoveryExchange implements ResponseListener {
    /** Receives the events of an exchange. */
    interface Listener {
        /** An update was received. A fetch is already closed. */
        void updateReceived(DiscoveryExchange exchange, DiscoveryUpdate update);

        /** Returns an update without changes to the known list. */
        DiscoveryUpdate unchangedUpdate();

        /** Discovery sent a sign of life: every change up to now has been received. */
        void listConfirmed();

        /**
         * The exchange failed and is closed.
         *
         * @param reason completes a sentence that begins with "discovery"
         */
        void failed(DiscoveryExchange exchange, String reason);

        /**
         * The exchange was closed, for any reason. Only events of the message that closed it
         * follow, or {@link #failed}.
         */
        void closed(DiscoveryExchange exchange);
    }

    /** No queue delays a connect, so one that takes longer shows a broken link. */
    private static final long CONNECT_TIMEOUT_NS = 1_000_000_000L;

    /**
     * Discovery queues requests, and rejects them before this time; after it, discovery does not
     * respond at all.
     */
    private static final long RESPONSE_TIMEOUT_NS = 4_000_000_000L;

    /**
     * Discovery sends an empty line on a watch every 2 s. A timeout half an interval after a missed
     * line leaves time to poll instead.
     */
    private static final long HEARTBEAT_TIMEOUT_NS = 3_000_000_000L;

    /**
     * Longer than a list of thousands of endpoints takes to arrive and be read on a fraction of a
     * core. After this time the changes in the object count as received anyway.
     */
    private static final long OBJECT_TIMEOUT_NS = ListLease.NOTIFICATION_DUE_NS;

    /** The socket is not read before a request is sent if it was read within this time. */
    private static final long FRESH_READ_NS = 20_000_000L;

    private static final long NEVER_READ = 0;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final boolean isWatch;
    private final String target;
    private final Listener listener;
    private final JsonObjectSplitter splitter = new JsonObjectSplitter();
    private final long startedAt;

    /** Cancels the connect that is in progress, or null. */
    private Runnable cancelConnect;

    private HttpConnection connection;
    private XnioExecutor.Key timeout;
    private boolean closed;
    private long sentAt;

    /** Discovery has responded with status 200. */
    private boolean accepted;

    /** An update, or a sign of life in its place, has been received. */
    private boolean received;

    /**
     * The exchange timed out on an open connection, so the request may have been queued at
     * discovery.
     */
    private boolean timedOutAfterConnect;

    private boolean surplusReceived;

    private long lastReadAt = NEVER_READ;

    /** When the first bytes of the incomplete object were read. */
    private long objectStartedAt = NEVER_READ;

    /** The number of objects completed before the incomplete one. */
    private long completedBefore;

    DiscoveryExchange(
            EventLoop loop,
            InetSocketAddress address,
            boolean isWatch,
            String target,
            Listener listener) {
        this.loop = loop;
        this.address = address;
        this.isWatch = isWatch;
        this.target = target;
        this.listener = listener;
        startedAt = loop.now();
    }

    /** Connects and sends the request. */
    void start() {
        restartTimeout(CONNECT_TIMEOUT_NS);
        cancelConnect =
                HttpConnector.open(
                        loop,
                        address,
                        CpuAccount.NONE,
                        new SurplusRecorder(),
                        this::connectCompleted);
    }

    /** Records that discovery has sent bytes before the request, so that it is serving. */
    private final class SurplusRecorder implements ConnectionListener {
        @Override
        public void closed() {}

        @Override
        public void surplusReceived(Surplus surplus) {
            surplusReceived = true;
        }
    }

    /**
     * Handles the end of the connect.
     *
     * @param opened null: no connection could be established
     */
    private void connectCompleted(HttpConnection opened) {
        cancelConnect = null;
        if (opened == null) {
            fail("cannot be reached");
            return;
        }
        if (!opened.readAndCheckIdle()) {
            fail("sends bytes before any request, or ends the connection");
            return;
        }
        connection = opened;
        sentAt = loop.now();
        restartTimeout(RESPONSE_TIMEOUT_NS);
        String host = address.getHostString() + ":" + address.getPort();
        connection.send(new RequestEncoder("GET", target, host).encode(null), Long.MAX_VALUE, this);
    }

    /**
     * Reads the connection if bytes may have arrived that were not read: the rest of a list that is
     * longer than what is read in one turn, or any bytes if the loop runs late.
     */
    void readArrived() {
        long now = loop.now();
        boolean isStale = now - Math.max(lastReadAt, loop.arrivedNotBefore()) > FRESH_READ_NS;
        if (connection != null && (isStale || splitter.isWithinObject())) {
            lastReadAt = now;
            connection.readArrived();
        }
    }

    /** Ends the exchange at once; of the listener's events only {@code closed} follows. */
    void close() {
        closed = true;
        listener.closed(this);
        timeout.remove();
        if (cancelConnect != null) {
            cancelConnect.run();
        }
        if (connection != null) {
            connection.close();
        }
    }

    boolean isWatch() {
        return isWatch;
    }

    /** Returns whether an update, or a sign of life in its place, has been received. */
    boolean hasReceived() {
        return received;
    }

    /** Returns when the exchange began, by {@link EventLoop#now}. */
    long startedAt() {
        return startedAt;
    }

    /**
     * Returns whether the failure of the exchange proves that discovery was not serving: it did not
     * accept the request, it sent no bytes before the request, and the exchange did not time out
     * while the request may have been queued.
     */
    boolean provesNotServing() {
        return !accepted && !timedOutAfterConnect && !surplusReceived;
    }

    /**
     * Returns since when the request may have been queued at discovery, by {@link EventLoop#now}.
     * Without a connection that is now: the request cannot have been queued, however late the
     * failure is noticed.
     */
    long waitedSince() {
        return connection == null ? loop.now() : sentAt;
    }

    @Override
    public void headReceived(int status, HeaderMap headers) {
        accepted = status == StatusCodes.OK;
        if (accepted) {
            // the request may have been queued for nearly the whole response timeout
            restartTimeout(RESPONSE_TIMEOUT_NS);
        } else {
            fail("answers " + status);
        }
    }

    @Override
    public void bodyReceived(ByteBuffer piece) {
        if (closed) {
            return;
        }
        try {
            for (String object : splitter.add(piece)) {
                if (!closed) {
                    receiveUpdate(DiscoveryParser.parse(object));
                }
            }
            if (splitter.hadSignOfLife()) {
                receiveSignOfLife();
            }
            if (!closed && splitter.isWithinObject()) {
                restartObjectTimeout();
            }
        } catch (IOException e) {
            fail(e.getMessage());
        }
    }

    private void receiveUpdate(DiscoveryUpdate update) {
        received = true;
        if (!isWatch) {
            close();
        }
        listener.updateReceived(this, update);
    }

    private void receiveSignOfLife() {
        if (!closed && isWatch && !received) {
            receiveUpdate(listener.unchangedUpdate());
        }
        if (!closed) {
            restartTimeout(HEARTBEAT_TIMEOUT_NS);
        }
        listener.listConfirmed();
    }

    /**
     * Restarts the timeout as bytes of an object arrive, up to a limit for the object. Prevents a
     * list that arrives a few bytes at a time from keeping the exchange open forever.
     */
    private void restartObjectTimeout() {
        long now = loop.now();
        if (splitter.completedCount() != completedBefore || objectStartedAt == NEVER_READ) {
            completedBefore = splitter.completedCount();
            objectStartedAt = now;
        }
        long objectTimeLeftNs = Math.max(0, objectStartedAt + OBJECT_TIMEOUT_NS - now);
        restartTimeout(Math.min(HEARTBEAT_TIMEOUT_NS, objectTimeLeftNs));
    }

    @Override
    public void responseCompleted() {
        fail(splitter.isWithinObject() ? "ends within an object" : "ends the response");
    }

    @Override
    public void exchangeFailed(String reason) {
        fail(reason);
    }

    private void restartTimeout(long ns) {
        if (timeout != null) {
            timeout.remove();
        }
        timeout = loop.scheduleAfterReading(ns, this::timedOut);
    }

    private void timedOut() {
        timedOutAfterConnect = connection != null;
        fail("is silent");
    }

    private void fail(String reason) {
        if (!closed) {
            close();
            listener.failed(this, reason);
        }
    }
}
