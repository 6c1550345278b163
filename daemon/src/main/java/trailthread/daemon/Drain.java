package trailthread.daemon;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.daemon.listener.HttpListener;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.NodeControl;

/**
 * Drains a node: moves its clients to other nodes while it keeps running, until it is resumed. A
 * draining node is not ready but keeps accepting connections, as the platform's front end polls its
 * readiness over a connection. Runs on the loop's thread.
 */
public final class Drain implements NodeControl {
    private static final Logger LOG = LoggerFactory.getLogger(Drain.class);

    /**
     * When responses begin to close their connections. Earlier, the front end may not have learned
     * of the drain, and clients whose connections were closed would reconnect to this node.
     */
    private static final long CLOSE_AFTER_RESPONSES_DELAY_NS = 400_000_000L;

    /**
     * When unused connections begin to be closed. This comes last: a client whose request is on its
     * way to such a connection must send it again, but not if a response closes the connection.
     */
    private static final long CLOSE_UNUSED_DELAY_NS = 1_500_000_000L;

    private static final long CLOSE_UNUSED_INTERVAL_NS = 100_000_000L;

    private final EventLoop loop;
    private final HttpListener listener;
    private boolean draining;

    /** Counts drains, so that the timers of an earlier drain don't affect a later one. */
    private int drainNumber;

    private boolean shuttingDown;

    /** Creates a drain, not yet begun, for the clients of a listener. */
    public Drain(EventLoop loop, HttpListener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    @Override
    public boolean drain() {
        if (!draining && !shuttingDown) {
            begin();
        }
        return !shuttingDown;
    }

    private void begin() {
        draining = true;
        drainNumber++;
        int number = drainNumber;
        LOG.info("drain started: clients are moved to other nodes");
        listener.setDrained(true);
        loop.schedule(CLOSE_AFTER_RESPONSES_DELAY_NS, () -> closeAfterResponses(number));
        loop.schedule(CLOSE_UNUSED_DELAY_NS, () -> closeUnused(number));
    }

    private boolean isInProgress(int number) {
        return draining && !shuttingDown && number == drainNumber;
    }

    private void closeAfterResponses(int number) {
        if (isInProgress(number)) {
            listener.setCloseAfterResponse(true);
        }
    }

    private void closeUnused(int number) {
        if (isInProgress(number)) {
            listener.closeUnused();
            loop.schedule(CLOSE_UNUSED_INTERVAL_NS, () -> closeUnused(number));
        }
    }

    @Override
    public boolean resume() {
        if (draining && !shuttingDown) {
            draining = false;
            LOG.info("drain ended: ready for clients again");
            listener.setCloseAfterResponse(false);
            listener.setDrained(false);
        }
        return !shuttingDown;
    }

    /** Ends any drain and rejects further drains and resumes, as the node shuts down. */
    void setShuttingDown() {
        shuttingDown = true;
    }

    /** Whether the node is shutting down. */
    boolean isShuttingDown() {
        return shuttingDown;
    }
}
