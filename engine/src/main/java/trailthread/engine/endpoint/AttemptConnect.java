package trailthread.engine.endpoint;

import org.xnio.XnioExecutor;
import trailthread.engine.http.HttpConnection;
import trailthread.engine.loop.EventLoop;

/**
 * Opens a new connection for one attempt. Before its first use the connection rests for a while, in
 * case the endpoint sends bytes on it or ends it.
 */
final class AttemptConnect {
    /** Receives the end of the connect, unless it is cancelled; never from within a call here. */
    interface Listener {
        /** The connection may carry a request now. */
        void connected(HttpConnection connection);

        /**
         * There is no connection that may carry a request.
         *
         * @param reason what the endpoint did; null: no connection could be established in time
         */
        void connectFailed(String reason);
    }

    private final EventLoop loop;
    private final ConnectionPool connections;
    private final PooledEndpoint endpoint;
    private final Listener listener;
    private final long startedAt;

    /** Limits the time of the connect, then of the rest; null after that. */
    private XnioExecutor.Key timer;

    /** Cancels the connect that is in progress, or null. */
    private Runnable cancelOpening;

    /** The connection that rests, or null. */
    private HttpConnection resting;

    private boolean ended;

    /** Starts to connect; a permit for the connection has been reserved. */
    AttemptConnect(
            EventLoop loop,
            ConnectionPool connections,
            PooledEndpoint endpoint,
            Listener listener) {
        this.loop = loop;
        this.connections = connections;
        this.endpoint = endpoint;
        this.listener = listener;
        startedAt = loop.now();
        timer = loop.scheduleAfterReading(connections.connectTimeoutNs(), () -> fail(null));
        cancelOpening = connections.connect(endpoint, this::opened);
    }

    /**
     * Handles the end of the connect.
     *
     * @param connection null: no connection could be established
     */
    private void opened(HttpConnection connection) {
        cancelOpening = null;
        if (ended) {
            return; // an address that can't be resolved is reported even after a cancelled connect
        }
        if (connection == null) {
            fail(null);
            return;
        }
        timer.remove();
        resting = connection;
        long restNs = connections.firstUseDelayNs(loop.now() - startedAt);
        timer = loop.schedule(restNs, this::rested);
    }

    /** Passes the connection on, unless the endpoint has sent bytes on it or ended it. */
    private void rested() {
        HttpConnection connection = resting;
        resting = null;
        if (connection.readAndCheckIdle()) {
            ended = true;
            listener.connected(connection);
        } else {
            fail("sends bytes before any request, or ends the connection");
        }
    }

    private void fail(String reason) {
        cancel();
        listener.connectFailed(reason);
    }

    /** Ends the connect, unless it has ended; a connection that rests goes to the pool. */
    void cancel() {
        if (ended) {
            return;
        }
        ended = true;
        timer = AttemptExchange.cancelTimer(timer);
        if (resting != null) {
            connections.release(endpoint, resting);
            resting = null;
        }
        if (cancelOpening != null) {
            cancelOpening.run();
        }
    }
}
