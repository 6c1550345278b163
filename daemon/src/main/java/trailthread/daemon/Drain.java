package trailthread.daemon;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.daemon.listener.HttpListener;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.NodeControl;

/**
 * Leads a node's clients away while it goes on, and takes them back. The node says at once that it
 * is not ready, and goes on accepting: who asks whether it is ready must hear that it is not. On
 * the loop's thread.
 */
public final class Drain implements NodeControl {
    private static final Logger LOG = LoggerFactory.getLogger(Drain.class);

    /**
     * Until then, the front may not have heard of it, and clients that were sent away would come
     * back here.
     */
    private static final long ANSWERS_END_AFTER_NS = 400_000_000L;

    /**
     * What has brought no call by then is closed: an answer's end can't cross a call, and a close
     * can.
     */
    private static final long IDLE_ENDS_AFTER_NS = 1_500_000_000L;

    private static final long IDLE_ENDS_EVERY_NS = 100_000_000L;

    private final EventLoop loop;
    private final HttpListener acceptor;
    private boolean drains;

    /**
     * Each drain has its own number, so that what an earlier one has put off does nothing to a
     * later one.
     */
    private int number;

    private boolean ends;

    /** Makes one for the node's clients. */
    public Drain(EventLoop loop, HttpListener acceptor) {
        this.loop = loop;
        this.acceptor = acceptor;
    }

    @Override
    public boolean drain() {
        if (!drains && !ends) {
            drains = true;
            int mine = ++number;
            LOG.info("drains: clients are led away");
            acceptor.setDrained(true);
            loop.after(
                    ANSWERS_END_AFTER_NS,
                    () -> {
                        if (goesOn(mine)) {
                            acceptor.endWithAnswers(true);
                        }
                    });
            loop.after(IDLE_ENDS_AFTER_NS, () -> closeIdle(mine));
        }
        return !ends;
    }

    private boolean goesOn(int mine) {
        return drains && !ends && mine == number;
    }

    private void closeIdle(int mine) {
        if (goesOn(mine)) {
            acceptor.endUnused();
            loop.after(IDLE_ENDS_EVERY_NS, () -> closeIdle(mine));
        }
    }

    @Override
    public boolean resume() {
        if (drains && !ends) {
            drains = false;
            LOG.info("takes clients again");
            acceptor.endWithAnswers(false);
            acceptor.setDrained(false);
        }
        return !ends;
    }

    /** The node ends: no drain begins or ends any more. */
    void end() {
        ends = true;
    }

    /** Whether the node ends. */
    boolean hasEnded() {
        return ends;
    }
}
