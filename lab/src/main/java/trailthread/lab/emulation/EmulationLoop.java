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
 * One thread that drives an event queue by the real clock, and sockets. All of a day on sockets but
 * the nodes runs on it, so that the checker is told of things in one order. It knows how late it
 * did what was due.
 *
 * <p>Hand-made on NIO's selector: the stand-ins must reset, drip, spoil and fall silent byte by
 * byte, which no server's library lets them do.
 */
public final class EmulationLoop implements Closeable {
    /** What is due sooner is waited for awake: a selector knows milliseconds. */
    private static final long AWAKE_NS = 1_500_000L;

    private static final long NAP_NS = 50_000L;
    private static final long LONGEST_WAIT_MS = 20;

    /** A loop that did so much of what was due so late was too slow for its results to count. */
    private static final long LATE_US = 20_000;

    private static final double LATE_SHARE = 0.01;

    /** Whom a key belongs to. */
    interface Ready {
        /** Its channel can do something of what it waits for. */
        void ready() throws IOException;
    }

    private final Selector selector = Selector.open();
    private final EventQueue eventQueue = new EventQueue(System.nanoTime());
    private final Histogram lateUs = new Histogram(600_000_000L, 2);

    /** Begins now. */
    public EmulationLoop() throws IOException {
        // the selector is open by now
    }

    /** Its event queue; times are those of {@link System#nanoTime}. */
    public EventQueue eventQueue() {
        return eventQueue;
    }

    /** How late it did what was due, in us. */
    public Histogram lateUs() {
        return lateUs;
    }

    /** Whether it ran too late, as a whole, for what was measured to count. */
    public boolean wasLate() {
        return lateUs.getTotalCount() > 0
                && lateUs.getValueAtPercentile(100 * (1 - LATE_SHARE)) > LATE_US;
    }

    SelectionKey register(SelectableChannel channel, int interest, Ready ready) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interest, ready);
    }

    /** Goes on until this time, by {@link System#nanoTime}. */
    public void runUntil(long end) throws IOException {
        while (System.nanoTime() < end) {
            turn(end);
        }
    }

    private void turn(long end) throws IOException {
        catchUp();
        long wait = Math.min(end, eventQueue.nextTime()) - System.nanoTime();
        if (wait > AWAKE_NS) {
            selector.select(
                    Math.min(LONGEST_WAIT_MS, Math.max(1, (wait - AWAKE_NS / 2) / 1_000_000)));
        } else if (selector.selectNow() == 0 && wait > 0) {
            LockSupport.parkNanos(Math.min(NAP_NS, wait));
        }
        for (SelectionKey key : selector.selectedKeys()) {
            catchUp();
            if (key.isValid()) {
                ((Ready) key.attachment()).ready();
            }
        }
        selector.selectedKeys().clear();
    }

    private void catchUp() {
        long now = System.nanoTime();
        while (eventQueue.nextTime() <= now) {
            lateUs.recordValue(Math.max(0, (System.nanoTime() - eventQueue.nextTime()) / 1000));
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
