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
 * The one I/O thread of the node, with its sockets, timers, clock and buffers. Everything but
 * start-up and the signal handler runs on it, so nothing needs a lock, and nothing may block.
 */
public final class EventLoop {
    /**
     * The maximum number of bytes of one message that are read or written before the other ready
     * sockets are served. Larger than any message that is buffered completely, so that one pass
     * reads all of it.
     */
    public static final int MAX_BYTES_PER_PASS = 128 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final int BUFFER_BYTES = 16 * 1024;

    /** Buffers kept for reuse; more are allocated when needed, and freed afterwards. */
    private static final int POOLED_BUFFERS = 256;

    private static final int POOLED_BUFFERS_PER_THREAD = 16;

    /**
     * A timeout that runs at least this late waits until the ready sockets have been served. If no
     * poll is known for longer than this, an empty task makes the next poll known.
     */
    private static final long LATE_NS = 4_000_000L;

    private static final int STACK_BYTES = 256 * 1024;

    private final XnioWorker xnioWorker;
    private final XnioIoThread thread;
    private final LoopLatency latency = new LoopLatency(System.nanoTime());
    private final TimerWheel timers = new TimerWheel(System.nanoTime());

    /** XNIO's timer for the next tick that holds timers, or null. */
    private XnioExecutor.Key wakeUpTimer;

    /** When {@link #wakeUpTimer} is due, by the monotonic clock. */
    private long wakeUpAt;

    /** Created on first use, as it holds two file descriptors. */
    private SocketPass socketPass;

    private final ByteBufferPool buffers =
            new DefaultByteBufferPool(
                    true, BUFFER_BYTES, POOLED_BUFFERS, POOLED_BUFFERS_PER_THREAD);

    /**
     * Unix time minus the monotonic clock, ns. Computed once: prevents steps of the wall clock from
     * moving the deadlines of a running node.
     */
    private final long clockOffset = System.currentTimeMillis() * 1_000_000 - System.nanoTime();

    /**
     * Starts the thread.
     *
     * @throws IOException if XNIO can't open its selector
     */
    public EventLoop(String name) throws IOException {
        // The provider is named here. To look one up as a service, Java would open every jar, and
        // keep a file descriptor for each.
        xnioWorker =
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
        thread = xnioWorker.getIoThread(0);
    }

    /**
     * Returns XNIO's worker, which owns the thread and runs tasks that may block on threads of its
     * own.
     */
    public XnioWorker xnioWorker() {
        return xnioWorker;
    }

    /** Returns the I/O thread. */
    public XnioIoThread thread() {
        return thread;
    }

    /** Returns the pool of buffers for sockets. */
    public ByteBufferPool buffers() {
        return buffers;
    }

    /** Returns Unix time in nanoseconds; it never steps. */
    public long now() {
        return clockOffset + System.nanoTime();
    }

    /** Runs a task on the thread, after the running one; may be called on any thread. */
    public void execute(Runnable task) {
        thread.execute(() -> run(task));
    }

    /**
     * Schedules a task to run on the thread after a delay. To be called on the thread.
     *
     * @return a key that cancels the task
     * @throws IllegalStateException on another thread
     */
    public XnioExecutor.Key schedule(long delayNs, Runnable task) {
        if (Thread.currentThread() != thread) {
            throw new IllegalStateException(
                    "timers can be scheduled only on the event loop's thread");
        }
        TimerWheel.Timer timer = timers.schedule(System.nanoTime() + Math.max(0, delayNs), task);
        scheduleWakeUp(TimerWheel.tickOf(timer.dueAt) << TimerWheel.TICK_BITS);
        return timer;
    }

    /** Makes sure that timers run at this time, by the monotonic clock, or earlier. */
    private void scheduleWakeUp(long at) {
        if (wakeUpTimer != null && wakeUpAt <= at) {
            return;
        }
        if (wakeUpTimer != null) {
            wakeUpTimer.remove();
        }
        wakeUpAt = at;
        // Rounded up: XNIO rounds down to milliseconds, and would run the task again and again
        // before the tick.
        long delayMs = Math.max(0, at - System.nanoTime() + 999_999) / 1_000_000;
        wakeUpTimer = thread.executeAfter(this::runDueTimers, delayMs, TimeUnit.MILLISECONDS);
    }

    private void runDueTimers() {
        wakeUpTimer = null;
        for (TimerWheel.Timer timer : timers.removeDue(System.nanoTime())) {
            Runnable task = timer.takeTask();
            if (task != null) {
                latency.recordTimerLateness(timer.dueAt, System.nanoTime());
                runSafely(task);
            }
        }
        scheduleWakeUp(timers.nextTickAt());
        if (latency.unpolledNs(System.nanoTime()) > LATE_NS) {
            // The empty task makes its pipe ready, so the next poll is known. Prevents idle time
            // after a long task from being recorded as lateness.
            afterSockets(() -> {});
        }
    }

    /**
     * Schedules the timeout of a wait for a peer, as {@link #schedule} does. If the timer runs
     * late, the task runs only after the ready sockets have been served. Timers run before sockets,
     * so otherwise a peer would time out whose input arrived in time but was not read yet.
     *
     * @return a key that cancels the task
     */
    public XnioExecutor.Key scheduleAfterReading(long delayNs, Runnable task) {
        TimeoutAfterReading timeout = new TimeoutAfterReading(System.nanoTime() + delayNs, task);
        timeout.key = schedule(delayNs, timeout);
        return timeout;
    }

    /** Runs a task after every socket that is ready now has been served. */
    public void afterSockets(Runnable task) {
        if (socketPass == null) {
            socketPass = new SocketPass(thread, this::beforeServingSocket, this::runSafely);
        }
        socketPass.runAfterSockets(task);
    }

    /**
     * To be called before a socket is served. The first call after a poll tells {@link #latency}
     * when that poll returned.
     */
    public void beforeServingSocket() {
        if (latency.beforeServingSocket(System.nanoTime())) {
            thread.execute(() -> latency.afterServingSockets(System.nanoTime()));
        }
    }

    /** Returns the measurement of how late the thread runs. */
    public LoopLatency latency() {
        return latency;
    }

    /**
     * Returns the earliest time at which input that is read now can have arrived, by {@link #now}.
     * Earlier than now, as the input may have waited for this thread.
     */
    public long arrivedNotBefore() {
        return clockOffset + latency.arrivedNotBefore();
    }

    /**
     * Returns the latest time at which input that is read now can have arrived, by {@link #now}.
     */
    public long arrivedBy() {
        return clockOffset + latency.arrivedBy(System.nanoTime());
    }

    /** Runs a task and logs its exception, so that the tasks after it still run. */
    private void runSafely(Runnable task) {
        try {
            run(task);
        } catch (RuntimeException e) {
            LOG.error("a task on the event loop threw an exception", e);
        }
    }

    /** Runs a task and measures it. For calls by XNIO that serve no socket. */
    public void run(Runnable task) {
        latency.beginTask(System.nanoTime());
        try {
            task.run();
        } finally {
            latency.endTask(System.nanoTime());
        }
    }

    /** Runs its task when due or, if the timer runs late, after the ready sockets were served. */
    private final class TimeoutAfterReading implements XnioExecutor.Key, Runnable {
        private final long dueAt;
        private final Runnable task;
        private XnioExecutor.Key key;
        private boolean removed;

        TimeoutAfterReading(long dueAt, Runnable task) {
            this.dueAt = dueAt;
            this.task = task;
        }

        @Override
        public void run() {
            if (System.nanoTime() - dueAt < LATE_NS) {
                task.run();
            } else {
                afterSockets(this::runUnlessRemoved);
            }
        }

        private void runUnlessRemoved() {
            if (!removed) {
                task.run();
            }
        }

        @Override
        public boolean remove() {
            removed = true;
            return key.remove();
        }
    }
}
