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
     * The most that is read or written of one message before all other sockets that are ready are
     * served, bytes. More than any message that is buffered completely, so that these are read at
     * once.
     */
    public static final int MAX_BYTES_PER_PASS = 128 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final int BUFFER_BYTES = 16 * 1024;

    /** Buffers kept for reuse; more are allocated when needed, and freed afterwards. */
    private static final int POOLED_BUFFERS = 256;

    private static final int POOLED_BUFFERS_PER_THREAD = 16;

    /** From this lateness on, a timer waits until the sockets have been served. */
    private static final long LATE_NS = 4_000_000L;

    private static final int STACK_BYTES = 256 * 1024;

    private final XnioWorker xnioWorker;
    private final XnioIoThread thread;
    private final LoopLatency latency = new LoopLatency(System.nanoTime());
    private final TimerWheel timers = new TimerWheel(System.nanoTime());

    /** XNIO's timer for the next tick that holds timers, or null. */
    private XnioExecutor.Key wakeUp;

    private long wakeUpAt;

    /** Made when it is first needed, as it holds two descriptors. */
    private SocketPass socketPass;

    private final ByteBufferPool buffers =
            new DefaultByteBufferPool(
                    true, BUFFER_BYTES, POOLED_BUFFERS, POOLED_BUFFERS_PER_THREAD);

    /**
     * From the monotonic clock to Unix time, ns. Read once: prevents steps of the wall clock from
     * moving deadlines of a running node.
     */
    private final long clockOffset = System.currentTimeMillis() * 1_000_000 - System.nanoTime();

    /**
     * Starts the thread.
     *
     * @throws IOException if XNIO can't open its selector
     */
    public EventLoop(String name) throws IOException {
        // The provider is named here: to find one as a service, Java would open every jar, and keep
        // a descriptor of each.
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

    /** The I/O thread. */
    public XnioIoThread thread() {
        return thread;
    }

    /** The pool of buffers for sockets. */
    public ByteBufferPool buffers() {
        return buffers;
    }

    /** Unix time in nanoseconds. */
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
     * @return cancels the task
     * @throws IllegalStateException on another thread
     */
    public XnioExecutor.Key schedule(long delayNs, Runnable task) {
        if (Thread.currentThread() != thread) {
            throw new IllegalStateException("a timer is set from another thread");
        }
        TimerWheel.Timer timer = timers.schedule(System.nanoTime() + Math.max(0, delayNs), task);
        wakeUpBy(TimerWheel.tickOf(timer.dueAt) << TimerWheel.TICK_BITS);
        return timer;
    }

    /** Runs the timers that are due at this time, by the monotonic clock, or earlier. */
    private void wakeUpBy(long at) {
        if (wakeUp != null && wakeUpAt <= at) {
            return;
        }
        if (wakeUp != null) {
            wakeUp.remove();
        }
        wakeUpAt = at;
        // Rounded up: XNIO rounds down to milliseconds, and would run the task again and again
        // before the tick.
        long delayMs = Math.max(0, at - System.nanoTime() + 999_999) / 1_000_000;
        wakeUp = thread.executeAfter(this::runTimers, delayMs, TimeUnit.MILLISECONDS);
    }

    private void runTimers() {
        wakeUp = null;
        for (TimerWheel.Timer timer : timers.removeDue(System.nanoTime())) {
            Runnable task = timer.takeTask();
            if (task != null) {
                latency.timerRuns(timer.dueAt, System.nanoTime());
                runSafely(task);
            }
        }
        wakeUpBy(timers.nextTickAt());
        if (latency.unpolledNs(System.nanoTime()) > LATE_NS) {
            // Makes the next poll known. Prevents idle time after a long task from being recorded
            // as lateness.
            afterSockets(() -> {});
        }
    }

    /**
     * As {@link #schedule}, for the timeout of a wait for a peer: if the timer runs late, the task
     * runs after the sockets that are ready have been served. Timers run before sockets, so a peer
     * whose input arrived in time but was not read yet would time out otherwise.
     *
     * @return cancels the task
     */
    public XnioExecutor.Key scheduleAfterReading(long delayNs, Runnable task) {
        TimeoutAfterReading timeout = new TimeoutAfterReading(System.nanoTime() + delayNs, task);
        timeout.key = schedule(delayNs, timeout);
        return timeout;
    }

    /** Runs a task once every socket that is ready by now has been served. */
    public void afterSockets(Runnable task) {
        if (socketPass == null) {
            socketPass = new SocketPass(thread, this::beforeServingSocket, this::runSafely);
        }
        socketPass.after(task);
    }

    /**
     * To be called before a socket is served. The first call after a poll tells {@link #latency}
     * when that poll returned.
     */
    public void beforeServingSocket() {
        if (latency.serveSocket(System.nanoTime())) {
            thread.execute(() -> latency.socketsServed(System.nanoTime()));
        }
    }

    /** How late the thread runs. */
    public LoopLatency latency() {
        return latency;
    }

    /**
     * The earliest time at which input that is read now can have arrived, by {@link #now}: it may
     * have waited for this thread.
     */
    public long arrivedNotBefore() {
        return clockOffset + latency.arrivedNotBefore();
    }

    /** The latest time at which input that is read now can have arrived, by {@link #now}. */
    public long arrivedBy() {
        return clockOffset + latency.arrivedBy(System.nanoTime());
    }

    /** Runs a task and logs its exception, so that those after it run too. */
    private void runSafely(Runnable task) {
        try {
            run(task);
        } catch (RuntimeException e) {
            LOG.error("a task failed", e);
        }
    }

    /** Runs a task; for calls by XNIO other than those that serve a socket. */
    public void run(Runnable task) {
        latency.beginTask(System.nanoTime());
        try {
            task.run();
        } finally {
            latency.endTask(System.nanoTime());
        }
    }

    /** Runs its task when it is due or, if that is late, once the sockets have been served. */
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
