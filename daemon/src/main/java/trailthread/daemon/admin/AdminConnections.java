package trailthread.daemon.admin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** The connections to the endpoint, bounded. Guards the node's descriptors and the loop's time. */
final class AdminConnections {
    /** One connection. */
    private static final class Client {
        private boolean busy;

        /** When its last answer ended, or it was opened. */
        private long idleSince;

        /** Its next answer goes out no sooner. */
        private long nextAt;
    }

    private final AdminLimits limits;
    private final Map<StreamConnection, Client> clients = new LinkedHashMap<>();

    AdminConnections(AdminLimits limits) {
        this.limits = limits;
    }

    /** Whether there was room, or room could be made; otherwise the connection is closed. */
    boolean opened(StreamConnection connection, long now) {
        if (clients.size() >= limits.connections()) {
            IoUtils.safeClose(idlest(connection));
        }
        if (!connection.isOpen()) {
            return false;
        }
        Client client = new Client();
        client.idleSince = now;
        clients.put(connection, client);
        return true;
    }

    /** Whichever of all has been without a request for longest, or this one if none is. */
    private StreamConnection idlest(StreamConnection otherwise) {
        StreamConnection idlest = otherwise;
        long since = Long.MAX_VALUE;
        for (Map.Entry<StreamConnection, Client> e : clients.entrySet()) {
            if (!e.getValue().busy && e.getValue().idleSince < since) {
                idlest = e.getKey();
                since = e.getValue().idleSince;
            }
        }
        return idlest;
    }

    /** A request has come; says when it may be answered. */
    long began(StreamConnection connection, long now) {
        Client client = clients.get(connection);
        if (client == null) {
            return now; // closed meanwhile
        }
        client.busy = true;
        long at = Math.max(now, client.nextAt);
        client.nextAt = at + limits.answerEveryNs();
        return at;
    }

    void ended(StreamConnection connection, long now) {
        Client client = clients.get(connection);
        if (client != null) {
            client.busy = false;
            client.idleSince = now;
        }
    }

    void closed(StreamConnection connection) {
        clients.remove(connection);
    }

    void closeAll() {
        List.copyOf(clients.keySet()).forEach(IoUtils::safeClose);
    }
}
