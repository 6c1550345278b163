package trailthread.engine.loop;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.nio.NioXnioProvider;

/**
 * The one thread that runs the node: its sockets, its timers, its clock and its buffers. Everything
 * in the node but the start and the signal handler runs here, so nothing needs a lock.
 */
public final class EventLoop {
    /**
     * Of one long message, so much is read or written at most before all other sockets that are
     * ready are served. More than any message that is held whole, so that these are read in one go.
     */
    public static final int MOST_IN_TURN_BYTES = 128 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final int BUFFER_BYTES = 16 * 1024;

    /** Buffers kept for use again; more are made when needed and let go afterwards. */
    private static final int BUFFERS_KEPT = 256;

    private static final long LATE_NS = 4_000_000L;
    private static final int STACK_BYTES = 256 * 1024;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final LoopLatency turns = new LoopLatency(System.nanoTime());
    private final TimerWheel wheel = new TimerWheel(System.nanoTime());
    private XnioExecutor.Key wake;
    private long wakesAt;
    private SocketPass sockets;
    private final ByteBufferPool buffers =
            new DefaultByteBufferPool(true, BUFFER_BYTES, BUFFERS_KEPT, 16);

    /**
     * Wall time is read once and goes on by the monotonic clock: it must not jump under a running
     * node.
     */
    private final long offset = System.currentTimeMillis() * 1_000_000 - System.nanoTime();

    /** Starts the thread. */
    public EventLoop(String name) throws IOException {
        // Named, as a look for it would open every jar, and each would stay a descriptor of the
        // node.
        worker =
                new NioXnioProvider()
                        .getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_NAME, name)
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.STACK_SIZE, (long) STACK_BYTES)
                                        .getMap());
        thread = worker.getIoThread(0);
    }

    public XnioWorker worker() {
        return worker;
    }

    public XnioIoThread thread() {
        return thread;
    }

    public ByteBufferPool buffers() {
        return buffers;
    }

    /** Unix time in nanoseconds. */
    public long now() {
        return offset + System.nanoTime();
    }

    /** Runs a task on the thread, after what is running now. */
    public void execute(Runnable task) {
        thread.execute(() -> run(task));
    }

    /**
     * Runs a task on the thread once the delay is over; the key takes it back. To be called on the
     * thread.
     *
     * @throws IllegalStateException on another thread
     */
    public XnioExecutor.Key after(long delayNs, Runnable task) {
        if (Thread.currentThread() != thread) {
            throw new IllegalStateException("a timer is set from another thread");
        }
        TimerWheel.Timer timer = wheel.set(System.nanoTime() + Math.max(0, delayNs), task);
        wakeAt(TimerWheel.tickOf(timer.dueAt) << TimerWheel.TICK_BITS);
        return timer;
    }

    /** The thread looks at its timers by then. */
    private void wakeAt(long at) {
        if (wake != null && wakesAt <= at) {
            return;
        }
        if (wake != null) {
            wake.remove();
        }
        wakesAt = at;
        // Rounded up, as XNIO drops what is less than a millisecond, and would run the task again
        // and again.
        long delayMs = Math.max(0, at - System.nanoTime() + 999_999) / 1_000_000;
        wake = thread.executeAfter(this::runTimers, delayMs, TimeUnit.MILLISECONDS);
    }

    private void runTimers() {
        wake = null;
        for (TimerWheel.Timer timer : wheel.due(System.nanoTime())) {
            Runnable task = timer.take();
            if (task != null) {
                turns.timer(timer.dueAt, System.nanoTime());
                runSafely(task);
            }
        }
        wakeAt(wheel.nextAt());
        if (turns.unseenNs(System.nanoTime()) > LATE_NS) {
            afterSockets(
                    () -> {}); // a look that is known of: without one, the quiet to come would pass
            // for lateness
        }
    }

    /**
     * The same for the end of a wait for a peer. Guards against a loop that runs late: timers go
     * before sockets, so what the peer has sent in time would be found only after it was given up.
     */
    public XnioExecutor.Key afterReading(long delayNs, Runnable task) {
        Wait wait = new Wait();
        long dueAt = System.nanoTime() + delayNs;
        wait.key =
                after(
                        delayNs,
                        () -> {
                            if (System.nanoTime() - dueAt < LATE_NS) {
                                task.run();
                            } else {
                                afterSockets(wait.lateTask(task));
                            }
                        });
        return wait;
    }

    /** Runs a task once every socket that is ready by now has been served. */
    public void afterSockets(Runnable task) {
        if (sockets == null) {
            sockets = new SocketPass(thread, this::servesSocket, this::runSafely);
        }
        sockets.after(task);
    }

    /**
     * Says that a socket is being served, so that the time at which the sockets were looked at is
     * known.
     */
    public void servesSocket() {
        if (turns.serves(System.nanoTime())) {
            thread.execute(() -> turns.served(System.nanoTime()));
        }
    }

    /** What the thread knows of its own lateness. */
    public LoopLatency turns() {
        return turns;
    }

    /**
     * When what is read now can first have come, by {@link #now}: it may have waited for this
     * thread.
     */
    public long cameNotBefore() {
        return offset + turns.notBefore();
    }

    /** When what is read now had come by, by {@link #now}. */
    public long cameBy() {
        return offset + turns.lookedAt(System.nanoTime());
    }

    /** One that throws must not take along those after it. */
    private void runSafely(Runnable task) {
        try {
            run(task);
        } catch (RuntimeException e) {
            LOG.error("a task failed", e);
        }
    }

    /** Runs what XNIO has called as a task, and not as it serves a socket. */
    public void run(Runnable task) {
        turns.runs(System.nanoTime());
        try {
            task.run();
        } finally {
            turns.ran(System.nanoTime());
        }
    }

    /** A wait that may be drawn out until the sockets have been served. */
    private static final class Wait implements XnioExecutor.Key {
        private XnioExecutor.Key key;
        private boolean removed;

        private Runnable lateTask(Runnable task) {
            return () -> {
                if (!removed) {
                    task.run();
                }
            };
        }

        @Override
        public boolean remove() {
            removed = true;
            return key.remove();
        }
    }
}
