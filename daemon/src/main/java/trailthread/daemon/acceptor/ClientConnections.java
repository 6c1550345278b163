package trailthread.daemon.acceptor;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xnio.StreamConnection;
import trailthread.engine.loop.Loop;

/**
 * The connections from clients, bounded. Guards against clients that take connections and make no use of
 * them: silent ones, heads that never end, those kept for good after one call. Each of them holds a
 * descriptor that a client with a call needs.
 *
 * <p>No call that has come whole is lost to a close: what has come on a connection is read before it is
 * closed, as a loop that runs late finds its timers due before it has looked at its sockets. An answer that
 * says that it is the last one can't cross a call at all, so where there are many, answers end them.
 */
final class ClientConnections {
    /** A connection brings the head of its first call whole within this, and any head once it has begun. */
    private static final long HEAD_WITHIN_NS = 2_600_000_000L;
    /** A kept connection without a call is closed after so long, though there is room. */
    private static final long IDLE_NS = 15_000_000_000L;
    /** And the rest of its message so soon after its head, but for what a body's pace earns it. */
    private static final long REST_WITHIN_NS = 1_000_000_000L;
    /** From when on an idle connection may make room for another: clients count on it for this long. */
    private static final long KEPT_AT_LEAST_NS = 2_000_000_000L;
    /** A client with a call sends it as soon as it is connected; a silent one then makes room. */
    private static final long SPEAKS_WITHIN_NS = 250_000_000L;
    /**
     * Past this share of what clients may hold, idle connections are enough: answers end theirs. Only idle
     * ones count, and only if some have idled for a while, as a crowd of calls is served with less work over
     * the connections that it has.
     */
    private static final double IDLE_SHARE = 0.3;
    /** Past this share, those that have been kept for long enough are closed. */
    private static final double KEPT_SHARE = 0.5;
    /**
     * Past this share, those that idle or are silent for this long are closed, too. Guards against a crowd
     * that opens a connection for each call: past what they may hold, clients find no further one.
     */
    private static final double CROWDED_SHARE = 0.65;
    private static final long CROWDED_NS = 100_000_000L;
    private static final long LOOKED_AT_EVERY_NS = 50_000_000L;

    private final Loop loop;
    private final int mayHold;
    /** Those that have yet to bring their first head, the oldest first. */
    private final Set<ClientConnection> silent = new LinkedHashSet<>();
    /** Those that idle between calls, the longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /** Those with a call. */
    private final Set<ClientConnection> busy = new LinkedHashSet<>();
    /** How many idle after calls of each owner, where connections have owners. */
    private final Map<Object, Integer> idleOf = new IdentityHashMap<>();
    private boolean ending;

    /**
     * @param mayHold how many connections clients with calls may hold; past it they find no further one
     */
    ClientConnections(Loop loop, int mayHold) {
        this.loop = loop;
        this.mayHold = mayHold;
        loop.execute(this::lookAgain);
    }

    private void lookAgain() {
        makeRoom();
        loop.after(LOOKED_AT_EVERY_NS, this::lookAgain);
    }

    ClientConnection opened(StreamConnection connection) {
        ClientConnection client = new ClientConnection(connection, loop);
        silent.add(client);
        makeRoom();
        return client;
    }

    /** A head has come; says by when the rest of the message is owed. */
    long began(ClientConnection client) {
        long now = loop.now();
        boolean first = silent.remove(client);
        idlesNoMore(client);
        busy.add(client);
        return Math.max((first ? client.since() : now) + HEAD_WITHIN_NS, now + REST_WITHIN_NS);
    }

    void ended(ClientConnection client) {
        if (busy.remove(client) && client.isOpen()) {
            client.idles(loop.now());
            idle.add(client);
            if (client.owner() != null) {
                idleOf.merge(client.owner(), 1, Integer::sum);
            }
        }
    }

    private void idlesNoMore(ClientConnection client) {
        if (idle.remove(client) && client.owner() != null) {
            idleOf.merge(client.owner(), -1, (had, one) -> had + one == 0 ? null : had + one);
        }
    }

    /**
     * Whether one that idles after a call of this owner makes room for others. Guards each service's clients against
     * the crowd of another's: only those that keep their equal part or more are in the way.
     */
    private boolean makesRoom(Object owner) {
        return owner == null || idleOf.size() < 2
                || (long) idleOf.getOrDefault(owner, 0) * idleOf.size() >= idle.size();
    }

    void closed(ClientConnection client) {
        silent.remove(client);
        idlesNoMore(client);
        busy.remove(client);
    }

    /** Whether the answer to what this one carries is to end it, so that others find room. */
    boolean endsWithAnswer(ClientConnection client) {
        return ending || idle.size() > IDLE_SHARE * mayHold
                && idle.iterator().next().since() < loop.now() - CROWDED_NS && makesRoom(client.owner());
    }

    /** Answers end their connections from now on. */
    void endWithAnswers(boolean ending) {
        this.ending = ending;
    }

    boolean noneBusy() {
        return busy.isEmpty();
    }

    /** Closes all that idle and have brought no call by now, and those that have been silent for a while. */
    void closeIdle() {
        closeAll(idle, Long.MAX_VALUE);
        closeAll(silent, loop.now() - SPEAKS_WITHIN_NS);
    }

    /** Closes all that carry no call, and have brought none by now. */
    void closeUnused() {
        closeAll(idle, Long.MAX_VALUE);
        closeAll(silent, Long.MAX_VALUE);
    }

    private void makeRoom() {
        long now = loop.now();
        closeAll(silent, now - HEAD_WITHIN_NS);
        closeAll(idle, now - IDLE_NS);
        for (ClientConnection client : halfHeard(now)) {
            idlesNoMore(client);
            closeUnlessItCalls(client);
        }
        closeWhile(KEPT_SHARE, idle, now - KEPT_AT_LEAST_NS);
        closeWhile(KEPT_SHARE, silent, now - SPEAKS_WITHIN_NS);
        closeWhile(CROWDED_SHARE, idle, now - CROWDED_NS);
        closeWhile(CROWDED_SHARE, silent, now - CROWDED_NS);
    }

    /** Those that have served a call and are late with the rest of the next one's head. */
    private List<ClientConnection> halfHeard(long now) {
        List<ClientConnection> late = new ArrayList<>();
        for (ClientConnection client : idle) {
            if (client.speaksSince() > 0 && client.speaksSince() < now - HEAD_WITHIN_NS) {
                late.add(client);
            }
        }
        return late;
    }

    Map<String, Integer> byState() {
        return Map.of("silent", silent.size(), "idle", idle.size(), "busy", busy.size());
    }

    private int size() {
        return silent.size() + idle.size() + busy.size();
    }

    private void closeAll(Set<ClientConnection> clients, long since) {
        while (!clients.isEmpty() && clients.iterator().next().since() <= since) {
            close(clients.iterator().next());
        }
    }

    /** Closes the first of these that have been so since then or before, while there are over a share. */
    private void closeWhile(double share, Set<ClientConnection> clients, long since) {
        if (size() <= share * mayHold || clients.isEmpty() || clients.iterator().next().since() > since) {
            return; // the usual case, and nothing to copy
        }
        for (ClientConnection client : List.copyOf(clients)) {
            if (client.since() > since || size() <= share * mayHold) {
                return;
            }
            // One that has begun to speak may be slow, as long as there is no crowd.
            boolean speaks = share < CROWDED_SHARE && client.speaksSince() > 0;
            if (!speaks && makesRoom(client.owner())) {
                close(client);
            }
        }
    }

    private void close(ClientConnection client) {
        silent.remove(client);
        idlesNoMore(client);
        closeUnlessItCalls(client);
    }

    /** Closes one that is in none of the sets, but if what has come on it is a call, which puts it back. */
    private void closeUnlessItCalls(ClientConnection client) {
        client.serveWhatHasCome();
        if (!busy.contains(client) && !idle.contains(client)) {
            client.close();
        }
    }
}
