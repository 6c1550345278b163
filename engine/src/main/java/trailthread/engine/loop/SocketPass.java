package trailthread.engine.loop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelPipe;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Runs tasks after all ready sockets have been served. XNIO runs every task and every due timer
 * before it polls the sockets, also those that tasks schedule meanwhile, so a task that is queued
 * again still runs before the poll. Instead, a byte is written to a pipe that the thread itself
 * reads: the poll that finds the byte finds all other input too.
 */
final class SocketPass {
    private static final Logger LOG = LoggerFactory.getLogger(SocketPass.class);

    private final XnioIoThread thread;
    private final Consumer<Runnable> runner;
    private final StreamSourceChannel source;
    private final StreamSinkChannel sink;
    private List<Runnable> tasks = new ArrayList<>();

    /**
     * @param beforeServingSocket runs before the pipe is served, as for any other socket
     * @param runner runs one task, and must catch its exceptions, so that the other tasks run
     */
    SocketPass(XnioIoThread thread, Runnable beforeServingSocket, Consumer<Runnable> runner) {
        this.thread = thread;
        this.runner = runner;
        try {
            ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe =
                    thread.createHalfDuplexPipe(thread);
            source = pipe.getLeftSide();
            sink = pipe.getRightSide();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        source.getReadSetter()
                .set(
                        readable -> {
                            beforeServingSocket.run();
                            readPipe();
                        });
        source.resumeReads();
    }

    /** Runs a task after the sockets that are ready now have been served. */
    void runAfterSockets(Runnable task) {
        tasks.add(task);
        if (tasks.size() == 1 && !writePipe()) {
            runTasksLater(); // before the sockets are served, but they do run
        }
    }

    /** Writes the byte that the next poll finds; returns whether that was possible. */
    private boolean writePipe() {
        try {
            // always fits, as the pipe never holds more than one byte
            return InterruptedCalls.repeat(() -> sink.write(ByteBuffer.allocate(1))) == 1;
        } catch (IOException e) {
            LOG.error("the pipe of the event loop can't be written", e);
            return false;
        }
    }

    /**
     * Handles the byte that a poll has found. The tasks run after the other sockets of that poll
     * have been served, and after tasks that these queued, such as the completion of a connect.
     */
    private void readPipe() {
        try {
            if (source.read(ByteBuffer.allocate(1)) <= 0) {
                return; // interrupted, and reported as ready again
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        runTasksLater();
    }

    private void runTasksLater() {
        List<Runnable> due = tasks;
        tasks = new ArrayList<>();
        thread.execute(() -> thread.execute(() -> due.forEach(runner)));
    }
}
