package trailthread.engine.discovery;

import io.undertow.util.HeaderMap;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.XnioExecutor;
import trailthread.ListLease;
import trailthread.engine.http.HttpConnection;
import trailthread.engine.http.HttpConnector;
import trailthread.engine.http.RequestEncoder;
import trailthread.engine.http.ResponseListener;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/**
 * One HTTP exchange with discovery, on a connection of its own, with its timeouts. A watch goes on
 * until it breaks; a fetch ends with its first object.
 */
final class DiscoveryExchange implements ResponseListener {
    /** Receives the events of an exchange. */
    interface Listener {
        /** The exchange brought an update; a fetch is closed by now. */
        void received(DiscoveryExchange exchange, DiscoveryUpdate update);

        /** Returns an update that says that the list held has not changed. */
        DiscoveryUpdate unchanged();

        /** Discovery gave a sign of life: every change up to now has been received. */
        void confirmed();

        /**
         * The exchange failed and is closed.
         *
         * @param reason completes a sentence that begins with "discovery"
         */
        void failed(DiscoveryExchange exchange, String reason);

        /**
         * The exchange is closed, whatever the reason; no other event but the ones above follows.
         */
        void closed(DiscoveryExchange exchange);
    }

    /** No queue delays a connect, so one that takes longer meets a broken link. */
    private static final long CONNECT_TIMEOUT_NS = 1_000_000_000L;

    /**
     * Requests queue at discovery, which fails them before this time; past it discovery is silent.
     */
    private static final long RESPONSE_TIMEOUT_NS = 4_000_000_000L;

    /**
     * A watch brings an empty line every 2 s. Half an interval past a missed one leaves time to
     * poll instead.
     */
    private static final long HEARTBEAT_TIMEOUT_NS = 3_000_000_000L;

    /**
     * Longer than a list of thousands of endpoints takes on a fraction of a core. By then the
     * changes that the object holds count as received anyway.
     */
    private static final long OBJECT_TIMEOUT_NS = ListLease.NOTIFICATION_DUE_NS;

    /** A socket that was read within this time is not read again before a request is sent. */
    private static final long FRESH_READ_NS = 20_000_000L;

    private static final long NEVER_READ = 0;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final boolean isWatch;
    private final String target;
    private final Listener listener;
    private final JsonObjectSplitter objects = new JsonObjectSplitter();
    private final long startedAt;

    /** Cancels the connect that is in progress, or null. */
    private Runnable cancelConnect;

    private HttpConnection connection;
    private XnioExecutor.Key timeout;
    private boolean closed;
    private long sentAt;

    /** Discovery has begun a response with status 200. */
    private boolean accepted;

    /** An update, or a sign of life in its place, has been received. */
    private boolean received;

    /** This side ended the wait for a response on an open connection. */
    private boolean timedOutAtDiscovery;

    private long lastReadAt = NEVER_READ;

    /** When the first bytes of the incomplete object were read. */
    private long objectStartedAt = NEVER_READ;

    /** The number of objects that came before the incomplete one. */
    private long objectsBefore;

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
                        loop, address, CpuAccount.NONE, () -> {}, this::connectCompleted);
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
        connection = opened;
        sentAt = loop.now();
        restartTimeout(RESPONSE_TIMEOUT_NS);
        String host = address.getHostString() + ":" + address.getPort();
        connection.send(new RequestEncoder("GET", target, host).encode(null), Long.MAX_VALUE, this);
    }

    /**
     * Reads what has arrived, if something may have arrived that was not read: the rest of a list
     * that is longer than what is read in one turn, or anything, where the loop runs late.
     */
    void readArrived() {
        long now = loop.now();
        boolean isStale = now - Math.max(lastReadAt, loop.arrivedNotBefore()) > FRESH_READ_NS;
        if (connection != null && (isStale || objects.isWithinObject())) {
            lastReadAt = now;
            connection.readArrived();
        }
    }

    /** Ends the exchange at once; the listener gets no further event but {@code closed}. */
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
     * Returns whether a failed exchange shows that discovery was not serving: it never accepted the
     * request, and the request was not given up while it may have waited in a queue.
     */
    boolean wasRejected() {
        return !accepted && !timedOutAtDiscovery;
    }

    /**
     * Returns since when the request may have waited at discovery, by {@link EventLoop#now}. One
     * without a connection cannot have waited there, however late the failure is noticed.
     */
    long waitedSince() {
        return connection == null ? loop.now() : sentAt;
    }

    @Override
    public void headReceived(int status, HeaderMap headers) {
        accepted = status == StatusCodes.OK;
        if (accepted) {
            // the request may have been queued for nearly all of the time that is left
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
            for (String object : objects.add(piece)) {
                if (!closed) {
                    receive(DiscoveryParser.parse(object));
                }
            }
            if (objects.hadSignOfLife()) {
                receiveSignOfLife();
            }
            if (!closed && objects.isWithinObject()) {
                limitObjectTime();
            }
        } catch (IOException e) {
            fail(e.getMessage());
        }
    }

    private void receive(DiscoveryUpdate update) {
        received = true;
        if (!isWatch) {
            close();
        }
        listener.received(this, update);
    }

    private void receiveSignOfLife() {
        if (!closed && isWatch && !received) {
            receive(listener.unchanged());
        }
        if (!closed) {
            restartTimeout(HEARTBEAT_TIMEOUT_NS);
        }
        listener.confirmed();
    }

    /**
     * Allows a long object its time as long as bytes of it arrive, up to a limit, so that a list
     * that trickles is given up.
     */
    private void limitObjectTime() {
        long now = loop.now();
        if (objects.completedCount() != objectsBefore || objectStartedAt == NEVER_READ) {
            objectsBefore = objects.completedCount();
            objectStartedAt = now;
        }
        long objectTimeLeftNs = Math.max(0, objectStartedAt + OBJECT_TIMEOUT_NS - now);
        restartTimeout(Math.min(HEARTBEAT_TIMEOUT_NS, objectTimeLeftNs));
    }

    @Override
    public void responseCompleted() {
        fail(objects.isWithinObject() ? "ends within an object" : "ends the watch");
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
        timedOutAtDiscovery = connection != null;
        fail("is silent");
    }

    private void fail(String reason) {
        if (!closed) {
            close();
            listener.failed(this, reason);
        }
    }
}
