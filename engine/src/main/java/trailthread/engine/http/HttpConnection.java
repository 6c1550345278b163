package trailthread.engine.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/**
 * A connection to an HTTP server that carries one request at a time. It reads all the time: what
 * comes while no answer is due, be it the rest of a spoilt one, a second copy or the connection's
 * end, closes it and so never reaches the next request. On XNIO, as Undertow's client reads nothing
 * between requests, and can neither take back a connect nor end a connection before its request has
 * drained.
 */
public final class HttpConnection {
    private static final OptionMap TCP = OptionMap.create(Options.TCP_NODELAY, true);

    private final EventLoop loop;
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final Runnable closed;
    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** Of a buffer on the heap, the system call copies what it is given. */
    private static final int MOST_WRITTEN_BYTES = 64 * 1024;

    private ByteBuffer unsent;

    /** What follows it, or null. */
    private ByteBuffer unsentBody;

    /** The same, where it comes from elsewhere, or null. */
    private OutgoingBody outgoing;

    private ResponseListener listener;
    private ResponseDecoder answer;
    private boolean open = true;

    /** When it came up, or its last answer was whole. */
    private long idleSince;

    /** Nothing is read: whoever hears the answer has no room for more. */
    private boolean paused;

    private HttpConnection(
            EventLoop loop, StreamConnection connection, CpuAccount account, Runnable closed) {
        this.loop = loop;
        this.connection = connection;
        this.closed = closed;
        idleSince = loop.now();
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(
                readable -> {
                    loop.servesSocket();
                    account.charge(() -> read(EventLoop.MOST_IN_TURN_BYTES));
                });
        source.resumeReads();
        sink.setWriteListener(writable -> write());
    }

    /**
     * Opens a connection.
     *
     * @param account what is read on it is put down to
     * @param closed is run once when a connection that has come up is closed
     * @param opened gets the connection, or null if it does not come up; never from within this
     *     call
     * @return takes the connect back, descriptor and all; {@code opened} is not told then
     */
    public static Runnable open(
            EventLoop loop,
            InetSocketAddress server,
            CpuAccount account,
            Runnable closed,
            Consumer<HttpConnection> opened) {
        if (server.isUnresolved()) {
            loop.execute(() -> opened.accept(null));
            return () -> {};
        }
        AtomicBoolean over = new AtomicBoolean();
        IoFuture<StreamConnection> connect = loop.thread().openStreamConnection(server, null, TCP);
        connect.addNotifier(
                (done, none) ->
                        loop.execute(
                                () -> {
                                    StreamConnection connection = result(done);
                                    if (over.getAndSet(true)) {
                                        IoUtils.safeClose(connection);
                                    } else {
                                        opened.accept(
                                                connection == null
                                                        ? null
                                                        : new HttpConnection(
                                                                loop, connection, account, closed));
                                    }
                                }),
                null);
        return () -> {
            if (!over.getAndSet(true)) {
                connect.cancel();
            }
        };
    }

    private static StreamConnection result(IoFuture<? extends StreamConnection> done) {
        try {
            return done.getStatus() == IoFuture.Status.DONE ? done.get() : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Sends a request; not to be called before the answer to the one before is whole. */
    public void send(ByteBuffer request, long mostBodyBytes, ResponseListener hears) {
        send(request, mostBodyBytes, false, hears);
    }

    /**
     * The same.
     *
     * @param isHead whether it is a HEAD request, whose answer has no body
     */
    public void send(
            ByteBuffer request, long mostBodyBytes, boolean isHead, ResponseListener hears) {
        send(request, null, mostBodyBytes, isHead, hears);
    }

    /**
     * The same.
     *
     * @param body what follows the request's head, or null
     */
    public void send(
            ByteBuffer request,
            ByteBuffer body,
            long mostBodyBytes,
            boolean isHead,
            ResponseListener hears) {
        unsent = request;
        unsentBody = body;
        listener = hears;
        answer = new ResponseDecoder(hears, mostBodyBytes, isHead);
        write();
    }

    /** The same with a body that comes from elsewhere. */
    public void send(
            ByteBuffer request, ByteSource body, long mostBodyBytes, ResponseListener hears) {
        outgoing = new OutgoingBody(body);
        send(request, (ByteBuffer) null, mostBodyBytes, false, hears);
    }

    /** Reads no further until {@link #resume}; what has been read already is still told of. */
    public void pause() {
        paused = true;
        source.suspendReads();
    }

    /** Reads on. */
    public void resume() {
        if (paused && open) {
            paused = false;
            source.resumeReads();
            source.wakeupReads(); // what has come meanwhile may not be told of again
        }
    }

    /** Whether the request's last byte has been written. */
    public boolean isSent() {
        return unsent != null
                && !unsent.hasRemaining()
                && (unsentBody == null || !unsentBody.hasRemaining())
                && (outgoing == null || outgoing.isSent());
    }

    /** Looks at what has come by now; the listener hears of it before this returns. */
    public void look() {
        read(Integer.MAX_VALUE);
    }

    /** Whether another request may be sent, by what has been read. */
    public boolean isFree() {
        return open && answer == null;
    }

    /**
     * Since when it has carried no request, by {@link EventLoop#now}; of use only while it carries
     * none.
     */
    public long idleSince() {
        return idleSince;
    }

    /** Looks once more at what has come; whether another request may be sent. */
    public boolean isUsable() {
        if (answer == null) {
            look();
        }
        return isFree();
    }

    /** Ends the connection at once, whatever is on it; nothing more is heard. */
    public void close() {
        listener = null;
        answer = null;
        if (outgoing != null && outgoing.source.hasBegun()) {
            outgoing.source.stop();
        }
        if (open) {
            open = false;
            IoUtils.safeClose(connection);
            closed.run();
        }
    }

    private void write() {
        try {
            if (!write(unsent) || !write(unsentBody)) {
                sink.resumeWrites();
                return;
            }
            sink.suspendWrites();
            if (outgoing != null && !outgoing.goesOn()) {
                return;
            }
            if (listener != null && unsent != null) {
                listener.sent();
            }
        } catch (IOException e) {
            fail("breaks while the request is sent");
        }
    }

    /** A request's body on its way: one piece of it at a time is kept until it is written. */
    private final class OutgoingBody implements ByteSink {
        private final ByteSource source;
        private final boolean chunked;
        private ByteBuffer left;

        /** Bytes that have yet to come; below 0: its end will tell. */
        private long toCome;

        private boolean ended;
        private boolean broke;

        OutgoingBody(ByteSource source) {
            this.source = source;
            toCome = source.length();
            chunked = toCome < 0;
        }

        /** Its last byte has been written, whether or not its end was told. */
        boolean isSent() {
            return left == null && !broke && (ended || toCome == 0);
        }

        /** The socket takes more; whether all has been written by now. */
        boolean goesOn() throws IOException {
            if (!source.hasBegun()) {
                source.flowTo(this);
                return false; // the last piece tells of the end itself
            }
            if (left == null) {
                return false;
            }
            if (!write(left)) {
                sink.resumeWrites();
                return false;
            }
            left = null;
            if (!ended) {
                source.more(); // which may bring the end, and then tells of it
                return false;
            }
            return true;
        }

        @Override
        public boolean piece(ByteBuffer piece) {
            ByteBuffer out = piece;
            toCome -= piece.remaining();
            if (chunked) {
                byte[] size =
                        (Integer.toHexString(piece.remaining()) + "\r\n")
                                .getBytes(StandardCharsets.US_ASCII);
                out =
                        ByteBuffer.allocate(size.length + piece.remaining() + 2)
                                .put(size)
                                .put(piece)
                                .put(CRLF)
                                .flip();
            }
            return put(out);
        }

        private boolean put(ByteBuffer out) {
            try {
                if (open && !broke && (left != null || !write(out))) {
                    int kept = left == null ? 0 : left.remaining();
                    ByteBuffer all = ByteBuffer.allocate(kept + out.remaining());
                    left = (left == null ? all : all.put(left)).put(out).flip();
                    sink.resumeWrites();
                    return false;
                }
            } catch (IOException e) {
                broke = true;
                loop.execute(() -> fail("breaks while the body is sent")); // not from within the
                // source's own call
                return false;
            }
            return !broke;
        }

        @Override
        public void end() {
            ended = true;
            if (chunked) {
                put(ByteBuffer.wrap(LAST_CHUNK));
            }
            if (isSent() && open && this == outgoing && listener != null) {
                listener.sent();
            }
        }

        @Override
        public void broken() {
            fail("its body breaks off");
        }
    }

    /** Writes one turn's part of it; whether all of it has been written. */
    private boolean write(ByteBuffer bytes) throws IOException {
        int end = bytes == null ? 0 : bytes.position() + EventLoop.MOST_IN_TURN_BYTES;
        while (bytes != null && bytes.hasRemaining()) {
            if (bytes.position() >= end) {
                return false;
            }
            if (listener != null && !listener.mayBeWritten()) {
                throw new IOException("its time is over");
            }
            int count = Math.min(bytes.remaining(), MOST_WRITTEN_BYTES);
            int written = sink.write(bytes.slice(bytes.position(), count));
            if (written == 0) {
                return false;
            }
            bytes.position(bytes.position() + written);
        }
        return true;
    }

    /**
     * Reads what has come, up to some more than so many bytes: the socket tells again of what is
     * left.
     */
    private void read(int most) {
        try (var pooled = loop.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (long had = 0; open && !paused && had < most; had += buffer.capacity()) {
                buffer.clear();
                int count = source.read(buffer);
                if (count == 0) {
                    return;
                }
                if (answer == null) {
                    close(); // more than belongs to an answer, or the end
                    return;
                }
                if (count < 0 && answer.endsWithConnection()) {
                    whole();
                    return;
                }
                if (count < 0) {
                    fail("ends before the answer is whole");
                    return;
                }
                boolean more = !buffer.hasRemaining();
                buffer.flip();
                take(buffer);
                if (!more) {
                    return; // what comes later, the next look at the sockets finds
                }
            }
        } catch (IOException e) {
            fail("breaks");
        }
    }

    private void take(ByteBuffer bytes) {
        ResponseDecoder decoder = answer;
        try {
            decoder.decode(bytes);
        } catch (MalformedResponseException e) {
            fail("brings " + e.getMessage());
            return;
        }
        if (answer == decoder && decoder.isWhole()) {
            boolean isDone = isSent() && (outgoing == null || outgoing.ended);
            if (!decoder.isLasting() || !isDone || bytes.hasRemaining()) {
                whole();
            } else {
                ResponseListener hears = listener;
                listener = null;
                answer = null;
                outgoing = null;
                idleSince = loop.now();
                resume(); // for the next one
                hears.whole();
            }
        }
    }

    /** The answer is whole, and the last one here. */
    private void whole() {
        ResponseListener hears = listener;
        close();
        hears.whole();
    }

    private void fail(String how) {
        ResponseListener hears = listener;
        close();
        if (hears != null) {
            hears.broken(how);
        }
    }
}
