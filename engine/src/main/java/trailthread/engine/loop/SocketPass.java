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
 * timer before it looks at the sockets, however often they put one another off; a byte on a pipe of
 * the thread's own is found in the look that finds all the others.
 */
final class SocketPass {
    private final XnioIoThread thread;
    private final Consumer<Runnable> runner;
    private final StreamSourceChannel source;
    private final StreamSinkChannel sink;
    private List<Runnable> waiting = new ArrayList<>();

    /**
     * @param served is told of each look, while it is under way
     * @param runner runs one task; a task that throws must not take along the others, which end
     *     waits
     */
    SocketPass(XnioIoThread thread, Runnable served, Consumer<Runnable> runner) {
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
                            served.run();
                            looked();
                        });
        source.resumeReads();
    }

    void after(Runnable task) {
        waiting.add(task);
        if (waiting.size() == 1) {
            try {
                sink.write(ByteBuffer.allocate(1)); // one byte at a time always fits
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /**
     * This look found the byte; the tasks run when the others that it found have been served, and
     * when what these have put off until after the look, as a connect that came up, is done.
     */
    private void looked() {
        try {
            if (source.read(ByteBuffer.allocate(1)) <= 0) {
                return;
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        List<Runnable> due = waiting;
        waiting = new ArrayList<>();
        thread.execute(() -> thread.execute(() -> due.forEach(runner)));
    }
}
