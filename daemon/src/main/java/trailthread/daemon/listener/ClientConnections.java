package trailthread.daemon.listener;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xnio.StreamConnection;
import trailthread.engine.loop.EventLoop;

/**
 * The connections from clients, bounded, and how each ends. Guards against clients that take
 * connections and make no use of them: silent ones, heads that never end, those kept for good after
 * one call. Each of them holds a descriptor that a client with a call needs.
 *
 * <p>No call is lost to an end, whoever asks for it: see {@link #end(ClientConnection, long)}, the
 * one place where a connection ends between calls. An answer that says that it is the last one
 * can't cross a call at all, so where there are many, and where the node leaves, answers end them.
 * docs/restarts.md tells what a client sees at each moment.
 */
final class ClientConnections {
    /**
     * A connection brings the head of its first call whole within this, and any head once it has
     * begun.
     */
    private static final long HEAD_WITHIN_NS = 2_600_000_000L;

    /** A kept connection without a call is closed after so long, though there is room. */
    private static final long IDLE_NS = 15_000_000_000L;

    /** And the rest of its message so soon after its head, but for what a body's pace earns it. */
    private static final long REST_WITHIN_NS = 1_000_000_000L;

    /**
     * From when on an idle connection may make room for another: clients count on it for this long.
     */
    private static final long KEPT_AT_LEAST_NS = 2_000_000_000L;

    /** A client with a call sends it as soon as it is connected; a silent one then makes room. */
    private static final long SPEAKS_WITHIN_NS = 250_000_000L;

    /**
     * Past this share of what clients may hold, idle connections are enough: answers end theirs.
     * Only idle ones count, and only if some have idled for a while, as a crowd of calls is served
     * with less work over the connections that it has.
     */
    private static final double IDLE_SHARE = 0.3;

    /** However few there are. */
    private static final double ALL = 0;

    /** Past this share, those that have been kept for long enough are closed. */
    private static final double KEPT_SHARE = 0.5;

    /**
     * Past this share, those that idle or are silent for this long are closed, too. Guards against
     * a crowd that opens a connection for each call: past what they may hold, clients find no
     * further one.
     */
    private static final double CROWDED_SHARE = 0.65;

    private static final long CROWDED_NS = 100_000_000L;
    private static final long LOOKED_AT_EVERY_NS = 50_000_000L;

    private final EventLoop loop;
    private final int mayHold;

    /** Those that have yet to bring their first head, the oldest first. */
    private final Set<ClientConnection> silent = new LinkedHashSet<>();

    /** Those that idle between calls, the longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    /** Those with a call. */
    private final Set<ClientConnection> busy = new LinkedHashSet<>();

    /** Those whose last answer has been written: their clients are to read it, and to close. */
    private final Set<ClientConnection> leaving = new LinkedHashSet<>();

    /** How many idle after calls of each owner, where connections have owners. */
    private final IdentityHashMap<Object, Integer> idleOf = new IdentityHashMap<>();

    private boolean ending;

    /** What runs once none is open, where all are to end; else null. */
    private Runnable whenNone;

    /**
     * @param mayHold how many connections clients with calls may hold; past it they find no further
     *     one
     */
    ClientConnections(EventLoop loop, int mayHold) {
        this.loop = loop;
        this.mayHold = mayHold;
        loop.execute(this::lookAgain);
    }

    private void lookAgain() {
        makeRoom();
        if (whenNone != null) {
            endUnused();
        }
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

    /**
     * Its call has its answer.
     *
     * @param kept whether it may bring another
     */
    void ended(ClientConnection client, boolean kept) {
        if (!busy.remove(client) || !client.isOpen()) {
            return;
        }
        client.idles(loop.now());
        if (!kept) {
            leaving.add(client);
            return;
        }
        idle.add(client);
        if (client.owner() != null) {
            idleOf.merge(client.owner(), 1, Integer::sum);
        }
    }

    private void idlesNoMore(ClientConnection client) {
        if (idle.remove(client) && client.owner() != null) {
            idleOf.merge(client.owner(), -1, (had, one) -> had + one == 0 ? null : had + one);
        }
    }

    /**
     * Whether one that idles after a call of this owner makes room for others. Guards each
     * service's clients against the crowd of another's: only those that keep their equal part or
     * more are in the way.
     */
    private boolean makesRoom(Object owner) {
        return owner == null
                || idleOf.size() < 2
                || (long) idleOf.getOrDefault(owner, 0) * idleOf.size() >= idle.size();
    }

    void closed(ClientConnection client) {
        silent.remove(client);
        idlesNoMore(client);
        busy.remove(client);
        leaving.remove(client);
        tellIfNone();
    }

    /** Whether the answer to what this one carries is to end it, so that others find room. */
    boolean endsWithAnswer(ClientConnection client) {
        return ending
                || (idle.size() > IDLE_SHARE * mayHold
                        && idle.iterator().next().since() < loop.now() - CROWDED_NS
                        && makesRoom(client.owner()));
    }

    /** Answers end their connections from now on. */
    void endWithAnswers(boolean ending) {
        this.ending = ending;
    }

    /** Ends those that idle, and those that have been silent for a while. */
    void endUnused() {
        long now = loop.now();
        endWhile(ALL, idle, now, REST_WITHIN_NS);
        endWhile(ALL, silent, now - SPEAKS_WITHIN_NS, REST_WITHIN_NS);
    }

    /**
     * Ends all: those that carry no call by and by, the others with their answers, see {@link
     * #endWithAnswers}.
     *
     * @param whenNone runs when none is left. Guards the calls that lie unread on one while another
     *     ends: with the process, they would be reset
     */
    void endAll(Runnable whenNone) {
        this.whenNone = whenNone;
        endUnused();
        tellIfNone();
    }

    private void tellIfNone() {
        if (whenNone != null && size() == 0) {
            whenNone.run();
        }
    }

    private void makeRoom() {
        long now = loop.now();
        endWhile(ALL, silent, now - HEAD_WITHIN_NS, 0);
        endWhile(ALL, idle, now - IDLE_NS, HEAD_WITHIN_NS);
        for (ClientConnection client : halfHeard(now)) {
            end(client, HEAD_WITHIN_NS);
        }
        endWhile(KEPT_SHARE, idle, now - KEPT_AT_LEAST_NS, HEAD_WITHIN_NS);
        endWhile(KEPT_SHARE, silent, now - SPEAKS_WITHIN_NS, HEAD_WITHIN_NS);
        endWhile(CROWDED_SHARE, idle, now - CROWDED_NS, CROWDED_NS);
        endWhile(CROWDED_SHARE, silent, now - CROWDED_NS, CROWDED_NS);
        endWhile(CROWDED_SHARE, leaving, now - CROWDED_NS, CROWDED_NS);
    }

    /** Those that have served a call and are late with the rest of the next one's head. */
    private List<ClientConnection> halfHeard(long now) {
        List<ClientConnection> late = new ArrayList<>();
        for (ClientConnection client : idle) {
            if (client.speaksSince() > 0 && client.speaksSince() <= now - HEAD_WITHIN_NS) {
                late.add(client);
            }
        }
        return late;
    }

    Map<String, Integer> byState() {
        return Map.of(
                "silent",
                silent.size(),
                "idle",
                idle.size(),
                "busy",
                busy.size(),
                "leaving",
                leaving.size());
    }

    private int size() {
        return silent.size() + idle.size() + busy.size() + leaving.size();
    }

    /**
     * Ends the first of these that have been so since then or before, while there are over a share.
     *
     * @param restWithinNs see {@link #end}
     */
    private void endWhile(
            double share, Set<ClientConnection> clients, long since, long restWithinNs) {
        if (clients.isEmpty()
                || size() <= share * mayHold
                || clients.iterator().next().since() > since) {
            return; // the usual case, and nothing to copy
        }
        for (ClientConnection client : List.copyOf(clients)) {
            if (client.since() > since || size() <= share * mayHold) {
                return;
            }
            if (share == ALL || makesRoom(client.owner())) {
                end(client, restWithinNs);
            }
        }
    }

    /**
     * Ends one that carries no call. What has come on it is read first: a loop that runs late finds
     * its timers due before it has looked at its sockets. A call that has come whole is taken, and
     * the connection stays; one that has come in part has time for the rest. What comes after this
     * look has not been read, and its client, who sees the connection end before any answer, sends
     * it once more.
     *
     * @param restWithinNs how long after its first byte the rest of a head may come
     */
    private void end(ClientConnection client, long restWithinNs) {
        long since = client.since();
        client.serveWhatHasCome();
        boolean called = busy.contains(client) || client.since() != since;
        boolean speaks = client.speaksSince() > loop.now() - restWithinNs;
        if (!called && !speaks) {
            client.close();
        }
    }
}
