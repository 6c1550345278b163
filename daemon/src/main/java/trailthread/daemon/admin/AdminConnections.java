package trailthread.daemon.admin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Limits the admin server's connections and the rate of their responses, and with them the file
 * descriptors and the loop's time that its clients can use.
 */
final class AdminConnections {
    private static final class ConnectionState {
        private boolean busy;

        /** When its last response ended, or it was opened. */
        private long idleSince;

        /** Its next response is sent no sooner. */
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
     * Admits a connection. At the limit, the one that has been idle longest is closed for it; if
     * all are busy, the new one is.
     *
     * @return whether the new connection is open
     */
    boolean opened(StreamConnection connection, long now) {
        if (states.size() >= limits.connections()) {
            IoUtils.safeClose(longestIdleOr(connection));
        }
        if (!connection.isOpen()) {
            return false;
        }
        states.put(connection, new ConnectionState(now));
        return true;
    }

    private StreamConnection longestIdleOr(StreamConnection otherwise) {
        StreamConnection longestIdle = otherwise;
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

    /** A request has come; returns when its response may be sent. */
    long began(StreamConnection connection, long now) {
        ConnectionState state = states.get(connection);
        if (state == null) {
            return now; // it has been closed
        }
        state.busy = true;
        long responseAt = Math.max(now, state.nextResponseAt);
        state.nextResponseAt = responseAt + limits.answerEveryNs();
        return responseAt;
    }

    void ended(StreamConnection connection, long now) {
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
