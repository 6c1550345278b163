package trailthread.daemon.admin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Limits the number of the admin server's connections and the rate of responses on each, and so the
 * file descriptors and the loop's time that its clients can use.
 */
final class AdminConnections {
    private static final class ConnectionState {
        private boolean busy;

        /**
         * When the last response was written or, before the first one, the connection was opened.
         */
        private long idleSince;

        /** The earliest time of the next response. */
        private long nextResponseAt;

        ConnectionState(long now) {
            idleSince = now;
        }
    }

    private final AdminLimits limits;
    private final Map<StreamConnection, ConnectionState> states = new LinkedHashMap<>();

    AdminConnections(AdminLimits limits) {
        this.limits = limits;
    }

    /**
     * Admits a connection. At the limit, the connection that has been idle longest is closed; if
     * all are busy, the new one is.
     *
     * @return whether the new connection is open
     */
    boolean opened(StreamConnection connection, long now) {
        if (states.size() >= limits.maxConnections()) {
            IoUtils.safeClose(longestIdleOrElse(connection));
        }
        if (!connection.isOpen()) {
            return false;
        }
        states.put(connection, new ConnectionState(now));
        return true;
    }

    private StreamConnection longestIdleOrElse(StreamConnection fallback) {
        StreamConnection longestIdle = fallback;
        long idleSince = Long.MAX_VALUE;
        for (Map.Entry<StreamConnection, ConnectionState> entry : states.entrySet()) {
            ConnectionState state = entry.getValue();
            if (!state.busy && state.idleSince < idleSince) {
                longestIdle = entry.getKey();
                idleSince = state.idleSince;
            }
        }
        return longestIdle;
    }

    /** Records that a request's head has arrived; returns when its response may be sent. */
    long headArrived(StreamConnection connection, long now) {
        ConnectionState state = states.get(connection);
        if (state == null) {
            return now; // the connection has been closed
        }
        state.busy = true;
        long responseAt = Math.max(now, state.nextResponseAt);
        state.nextResponseAt = responseAt + limits.minResponseIntervalNs();
        return responseAt;
    }

    void responseWritten(StreamConnection connection, long now) {
        ConnectionState state = states.get(connection);
        if (state != null) {
            state.busy = false;
            state.idleSince = now;
        }
    }

    void closed(StreamConnection connection) {
        states.remove(connection);
    }

    void closeAll() {
        List.copyOf(states.keySet()).forEach(IoUtils::safeClose);
    }
}
