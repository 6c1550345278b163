package trailthread.engine.endpoint;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import trailthread.ListLease;
import trailthread.engine.http.HttpConnection;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/** The connections to the endpoints: opened when needed, kept while idle, bounded over all. */
final class ConnectionPool {
    /**
     * An idle connection is dropped after this share of the time that the endpoint leaves it open.
     */
    private static final double KEPT_SHARE = 0.8;

    /** And is found within this part of that time. */
    private static final int SWEEPS = 20;

    private static final long LEAST_BETWEEN_NS = 10_000_000L;

    /** A second answer to the call before, if there is one, has come by then. */
    private static final long SETTLES_NS = 10_000_000L;

    /** A connection with no request on it. */
    static final class Idle {
        private final Endpoint endpoint;
        private final HttpConnection connection;

        Idle(Endpoint endpoint, HttpConnection connection) {
            this.endpoint = endpoint;
            this.connection = connection;
        }
    }

    private final EventLoop loop;
    long connectTimeoutNs;
    private long drainGraceNs;

    /** No request is begun then or later, whatever the endpoint: the list is too old. */
    private long listUsableUntil = Long.MAX_VALUE;

    private Runnable readNews = () -> {};
    private long idleNs;
    private final ConnectionLimit room;
    private final CpuAccount account;

    /** Those idle at any endpoint, the longest idle first. */
    private final Set<Idle> idle = new LinkedHashSet<>();

    /** Connections, and connects that have not come up. */
    private int open;

    private boolean sweeps;

    ConnectionPool(
            EventLoop loop,
            long connectTimeoutNs,
            long idleNs,
            long drainGraceNs,
            ConnectionLimit room,
            CpuAccount account) {
        this.loop = loop;
        this.room = room;
        this.account = account;
        retune(connectTimeoutNs, idleNs, drainGraceNs);
    }

    /** Other times hold from now on, as in the constructor. */
    void retune(long connectWithinNs, long endpointsKeepNs, long graceNs) {
        connectTimeoutNs = connectWithinNs;
        idleNs = (long) (KEPT_SHARE * endpointsKeepNs);
        drainGraceNs = ListLease.usableGraceNs(graceNs);
    }

    /** The list may be acted on until this time, by {@link EventLoop#now}. */
    void listLeaseUntil(long until) {
        listUsableUntil = until;
    }

    /** How what discovery has told by now is taken in. */
    void setNews(Runnable reads) {
        readNews = reads;
    }

    /**
     * Whether a request may be begun at an endpoint now, by all that discovery has told; a probe
     * needs no fresh list.
     */
    boolean mayBegin(Endpoint endpoint, boolean isProbe) {
        // A loop that runs late, or is in the midst of a long list, has news unread that counts as
        // told.
        readNews.run();
        long now = loop.now();
        return endpoint.takesNew(now, drainGraceNs) && (isProbe || now < listUsableUntil);
    }

    /** An idle connection to the endpoint, or null. */
    HttpConnection takeIdle(Endpoint endpoint) {
        for (Idle next = preferred(endpoint); next != null; next = preferred(endpoint)) {
            forget(next);
            if (isOld(
                    next)) { // left by a late sweep: its endpoint may have closed it, and its word
                // be
                // on the way
                next.connection.close();
            } else if (next.connection.isUsable()) {
                return next.connection;
            }
        }
        return null;
    }

    /**
     * The last one used, or null. Guards against a second answer to the call before, which would
     * pass for the next one's: where others have settled for longer, one of these.
     */
    private Idle preferred(Endpoint endpoint) {
        long settled = loop.now() - SETTLES_NS;
        for (Iterator<Idle> lastFirst = endpoint.idle.descendingIterator(); lastFirst.hasNext(); ) {
            Idle next = lastFirst.next();
            if (next.connection.idleSince() <= settled) {
                return next;
            }
        }
        return endpoint.idle.peekFirst();
    }

    /**
     * Opens a connection; the consumer gets it, or null if it does not come up, never from within
     * this call.
     *
     * @return takes the connect back
     */
    Runnable connect(Endpoint endpoint, Consumer<HttpConnection> opened) {
        boolean free = room.take();
        if (!free && !idle.isEmpty()) {
            drop(idle.iterator().next()); // room for one that is needed
            free = room.take();
        }
        if (!free) {
            loop.execute(() -> opened.accept(null));
            return () -> {};
        }
        open++;
        Runnable connect =
                HttpConnection.open(
                        loop,
                        endpoint.address,
                        account,
                        this::closed,
                        connection -> {
                            if (connection == null) {
                                closed();
                            }
                            opened.accept(connection);
                        });
        return () -> {
            closed();
            connect.run();
        };
    }

    private void closed() {
        open--;
        room.give();
    }

    /** Keeps a connection for later, if it can serve again. */
    void keep(Endpoint endpoint, HttpConnection connection) {
        if (!endpoint.listed || !room.keepsIdle()) {
            connection.close();
        }
        if (!connection.isFree()) {
            return; // before it is used again, it is looked at
        }
        Idle kept = new Idle(endpoint, connection);
        endpoint.idle.addLast(kept);
        idle.add(kept);
        if (!sweeps) {
            sweeps = true;
            loop.after(idleNs, this::sweep);
        }
    }

    /** Drops what has idled for long enough. One timer for all: most are used again long before. */
    private void sweep() {
        while (!idle.isEmpty() && isOld(idle.iterator().next())) {
            drop(idle.iterator().next());
        }
        sweeps = !idle.isEmpty();
        if (sweeps) {
            loop.after(Math.max(idleNs / SWEEPS, LEAST_BETWEEN_NS), this::sweep);
        }
    }

    private boolean isOld(Idle kept) {
        return loop.now() - kept.connection.idleSince() >= idleNs;
    }

    /** Closes as many that idle at any endpoint, the longest idle first. */
    void closeIdle(int count) {
        for (int i = 0; i < count && !idle.isEmpty(); i++) {
            drop(idle.iterator().next());
        }
    }

    void closeIdle(Endpoint endpoint) {
        while (!endpoint.idle.isEmpty()) {
            drop(endpoint.idle.peekLast());
        }
    }

    Map<String, Integer> byState() {
        return Map.of("idle", idle.size(), "busy", open - idle.size());
    }

    private void drop(Idle dropped) {
        forget(dropped);
        dropped.connection.close();
    }

    private void forget(Idle taken) {
        if (taken.endpoint.idle.peekLast() == taken) {
            taken.endpoint.idle.pollLast(); // the usual case, and searched for last
        } else {
            taken.endpoint.idle.remove(taken);
        }
        idle.remove(taken);
    }
}
