package trailthread.engine.loop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.xnio.ChannelPipe;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Runs tasks once all sockets that are ready have been served. XNIO runs every task and every due
 * timer before it polls the sockets, also those that tasks schedule meanwhile. A byte written to a
 * pipe that the thread itself reads is found in the same poll as all other input.
 */
final class SocketPass {
    private final XnioIoThread thread;
    private final Consumer<Runnable> runner;
    private final StreamSourceChannel source;
    private final StreamSinkChannel sink;
    private List<Runnable> tasks = new ArrayList<>();

    /**
     * @param socketServed runs whenever the pipe is served, as for any other socket
     * @param runner runs one task, and must catch its exceptions, so that the other tasks run
     */
    SocketPass(XnioIoThread thread, Runnable socketServed, Consumer<Runnable> runner) {
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
                            socketServed.run();
                            pipeReadable();
                        });
        source.resumeReads();
    }

    /** Runs a task once the sockets that are ready by now have been served. */
    void after(Runnable task) {
        tasks.add(task);
        if (tasks.size() == 1) {
            try {
                sink.write(ByteBuffer.allocate(1)); // one byte at a time always fits
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /**
     * The poll has found the byte. The tasks run after the other sockets that it found have been
     * served, and after tasks that these queued, such as the completion of a connect.
     */
    private void pipeReadable() {
        try {
            if (source.read(ByteBuffer.allocate(1)) <= 0) {
                return;
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        List<Runnable> due = tasks;
        tasks = new ArrayList<>();
        thread.execute(() -> thread.execute(() -> due.forEach(runner)));
    }
}
