package trailthread.engine.pool;

import java.util.ArrayList;
import java.util.List;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.quota.Quota;
import trailthread.engine.quota.TimeQuota;

/** What the pools of a process share, and divide. */
public final class Shares {
    /** How long a pool that was not lent what it wanted counts as wanting: a few of its calls. */
    private static final long WANTED_NS = 1_000_000_000L;

    /** Time on the thread counts back so far: long against a turn, short against a deadline. */
    private static final long TIME_SPAN_NS = 200_000_000L;

    private final EventLoop loop;
    final Quota calls;
    final Quota connections;
    final Quota bodyBytes;
    final TimeQuota time;
    private final List<Pool> pools = new ArrayList<>();

    /**
     * Makes shares that no pool has any of yet.
     *
     * @param calls open at a time, over all pools
     * @param connections to endpoints
     * @param bodyBytes of bodies kept
     */
    public Shares(EventLoop loop, long calls, long connections, long bodyBytes) {
        this.loop = loop;
        this.calls = new Quota(calls, WANTED_NS);
        this.connections = new Quota(connections, WANTED_NS);
        this.bodyBytes = new Quota(bodyBytes, WANTED_NS);
        time = new TimeQuota(TIME_SPAN_NS, loop.now());
    }

    /** How much of its time the thread was at work for the pools of late, 0 to about 1. */
    public double busy() {
        return time.busy(loop.now());
    }

    void joined(Pool pool) {
        pools.add(pool);
    }

    void left(Pool pool) {
        pools.remove(pool);
    }

    /** A pool was not lent a connection: those that owe some give back what idles. */
    void connectionWanted() {
        for (int i = 0; i < pools.size(); i++) {
            pools.get(i).giveBackIdle();
        }
    }
}
