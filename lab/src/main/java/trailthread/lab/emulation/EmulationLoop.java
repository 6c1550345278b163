package trailthread.lab.emulation;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import trailthread.lab.event.EventQueue;

/**
 * An event loop that runs the events of an {@link EventQueue} at their times on the real clock, and
 * serves sockets. Everything in an emulation except the nodes runs on its single thread, so that
 * the invariant checker receives events in one order. It measures how late it runs its events.
 *
 * <p>It uses an NIO selector directly: emulated servers must reset connections, trickle or corrupt
 * responses and stop responding after any byte, which HTTP server libraries don't support.
 */
public final class EmulationLoop implements Closeable {
    /**
     * The selector is polled, with short sleeps, for events due sooner than this: its timeouts have
     * a resolution of a millisecond.
     */
    private static final long POLL_THRESHOLD_NS = 1_500_000L;

    private static final long POLL_SLEEP_NS = 50_000L;
    private static final long MAX_SELECT_MS = 20;

    /**
     * If more than {@link #LATE_SHARE} of the events run later than this, the machine was too busy
     * for the results to be valid.
     */
    private static final long LATE_US = 20_000;

    private static final double LATE_SHARE = 0.01;

    /** Handles the events of a channel; the attachment of its selection key. */
    interface ChannelHandler {
        /** The channel is ready for an operation that it is registered for. */
        void ready() throws IOException;
    }

    private final Selector selector = Selector.open();
    private final EventQueue eventQueue = new EventQueue(System.nanoTime());
    private final Histogram latenessUs = new Histogram(600_000_000L, 2);

    /** Opens the selector. */
    public EmulationLoop() throws IOException {
        // the selector is opened by its initializer
    }

    /** The event queue, in the time of {@link System#nanoTime}. */
    public EventQueue eventQueue() {
        return eventQueue;
    }

    /** How late events ran, in microseconds. */
    public Histogram latenessUs() {
        return latenessUs;
    }

    /** Whether too many events ran late for the results to be valid. */
    public boolean wasLate() {
        return latenessUs.getTotalCount() > 0
                && latenessUs.getValueAtPercentile(100 * (1 - LATE_SHARE)) > LATE_US;
    }

    SelectionKey register(SelectableChannel channel, int interestOps, ChannelHandler handler)
            throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interestOps, handler);
    }

    /** Runs until this time of {@link System#nanoTime}. */
    public void runUntil(long end) throws IOException {
        while (System.nanoTime() < end) {
            runOnce(end);
        }
    }

    private void runOnce(long end) throws IOException {
        runDueEvents();
        long wait = Math.min(end, eventQueue.nextTime()) - System.nanoTime();
        if (wait > POLL_THRESHOLD_NS) {
            selector.select(
                    Math.min(
                            MAX_SELECT_MS,
                            Math.max(1, (wait - POLL_THRESHOLD_NS / 2) / 1_000_000)));
        } else if (selector.selectNow() == 0 && wait > 0) {
            LockSupport.parkNanos(Math.min(POLL_SLEEP_NS, wait));
        }
        for (SelectionKey key : selector.selectedKeys()) {
            runDueEvents();
            if (key.isValid()) {
                ((ChannelHandler) key.attachment()).ready();
            }
        }
        selector.selectedKeys().clear();
    }

    private void runDueEvents() {
        long now = System.nanoTime();
        while (eventQueue.nextTime() <= now) {
            latenessUs.recordValue(Math.max(0, (System.nanoTime() - eventQueue.nextTime()) / 1000));
            eventQueue.runNext();
        }
        eventQueue.runUntil(now);
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
