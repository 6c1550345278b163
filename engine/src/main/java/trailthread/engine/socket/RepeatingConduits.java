package trailthread.engine.socket;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;
import trailthread.engine.loop.InterruptedCalls;

/** Repeats the interrupted reads and writes of a connection, whoever reads and writes it. */
public final class RepeatingConduits {
    private RepeatingConduits() {}

    /** Wraps the conduits of a new connection, which nobody has read or written yet. */
    public static void addTo(StreamConnection connection) {
        StreamSourceConduit source = connection.getSourceChannel().getConduit();
        connection.getSourceChannel().setConduit(new Source(source));
        StreamSinkConduit sink = connection.getSinkChannel().getConduit();
        connection.getSinkChannel().setConduit(new Sink(sink));
    }

    /** The reading side. */
    private static final class Source extends AbstractStreamSourceConduit<StreamSourceConduit> {
        Source(StreamSourceConduit next) {
            super(next);
        }

        @Override
        public int read(ByteBuffer to) throws IOException {
            return (int) InterruptedCalls.repeat(() -> next.read(to));
        }

        @Override
        public long read(ByteBuffer[] to, int offset, int length) throws IOException {
            return InterruptedCalls.repeat(() -> next.read(to, offset, length));
        }
    }

    /** The writing side. */
    private static final class Sink extends AbstractStreamSinkConduit<StreamSinkConduit> {
        Sink(StreamSinkConduit next) {
            super(next);
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            return (int) InterruptedCalls.repeat(() -> next.write(from));
        }

        @Override
        public long write(ByteBuffer[] from, int offset, int length) throws IOException {
            return InterruptedCalls.repeat(() -> next.write(from, offset, length));
        }

        @Override
        public int writeFinal(ByteBuffer from) throws IOException {
            return Conduits.writeFinalBasic(this, from);
        }

        @Override
        public long writeFinal(ByteBuffer[] from, int offset, int length) throws IOException {
            return Conduits.writeFinalBasic(this, from, offset, length);
        }
    }
}
