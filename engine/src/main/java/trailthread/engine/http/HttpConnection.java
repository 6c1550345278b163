package trailthread.engine.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/**
 * A connection to an HTTP server that carries one request at a time. {@link HttpConnector} opens
 * it.
 *
 * <p>The connection is read at all times. Anything that arrives while no response is due closes it:
 * the rest of a malformed response, a surplus second response, or the end of the connection. So
 * none of these is ever taken for the response to the next request. A response that another one
 * follows at once has failed, as either may be that of the request.
 *
 * <p>Built on XNIO, as Undertow's client does not read between requests, and can neither cancel a
 * connect nor close a connection before its request has been written.
 */
public final class HttpConnection {
    private static final Logger LOG = LoggerFactory.getLogger(HttpConnection.class);

    private final EventLoop loop;
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final RequestWriter writer;
    private final ConnectionListener connectionListener;

    /** Null while no request is in progress. */
    private ResponseListener listener;

    /** Null while no request is in progress. */
    private ResponseDecoder decoder;

    private boolean open = true;

    /** Whether no request was sent yet. */
    private boolean unused = true;

    /** When the connection was established, or its last response was complete. */
    private long idleSince;

    /** Whether a response is complete only with the end of the connection. */
    private boolean endRequired;

    /** Whether reading is suspended, as the listener has no capacity. */
    private boolean paused;

    HttpConnection(
            EventLoop loop,
            StreamConnection connection,
            CpuAccount account,
            ConnectionListener connectionListener) {
        this.loop = loop;
        this.connection = connection;
        this.connectionListener = connectionListener;
        idleSince = loop.now();
        source = connection.getSourceChannel();
        source.setReadListener(
                readable -> {
                    loop.beforeServingSocket();
                    account.runCharged(() -> read(EventLoop.MAX_BYTES_PER_PASS));
                });
        source.resumeReads();
        writer = new RequestWriter(loop, connection.getSinkChannel(), new WriterListener());
    }

    /**
     * Sends a request. Must not be called before the response to the previous request is complete.
     *
     * @param maxBodyBytes a response with a longer body is malformed
     */
    public void send(ByteBuffer request, long maxBodyBytes, ResponseListener responseListener) {
        send(request, null, maxBodyBytes, false, responseListener);
    }

    /**
     * Sends a request, as above, whose body is not in the same buffer.
     *
     * @param body the bytes that follow the request's head, or null
     * @param isHeadRequest whether the method is HEAD, so that the response has no body
     */
    public void send(
            ByteBuffer request,
            ByteBuffer body,
            long maxBodyBytes,
            boolean isHeadRequest,
            ResponseListener responseListener) {
        writer.setRequest(request, body);
        startExchange(
                responseListener,
                new ResponseDecoder(responseListener, maxBodyBytes, isHeadRequest));
    }

    /** Sends a request, as above, whose body is streamed. */
    public void send(
            ByteBuffer request,
            ByteSource body,
            long maxBodyBytes,
            ResponseListener responseListener) {
        writer.setRequest(request, body);
        startExchange(responseListener, new ResponseDecoder(responseListener, maxBodyBytes));
    }

    private void startExchange(ResponseListener responseListener, ResponseDecoder newDecoder) {
        unused = false;
        listener = responseListener;
        decoder = newDecoder;
        writer.write();
    }

    /**
     * Makes the next response count as complete only once the server has ended the connection,
     * which proves that no other response precedes or follows it. The request has to ask for that
     * end with the header {@code Connection: close}.
     */
    public void requireEnd() {
        endRequired = true;
    }

    /** Stops reading until {@link #resume}; bytes already read are still passed to the listener. */
    public void pause() {
        paused = true;
        source.suspendReads();
    }

    /** Continues to read after {@link #pause}. */
    public void resume() {
        if (paused && open) {
            paused = false;
            source.resumeReads();
            source.wakeupReads(); // the selector may not report what arrived during the pause
        }
    }

    /** Returns whether the request's last byte has been written. */
    public boolean isRequestSent() {
        return writer.isRequestSent();
    }

    /** Returns whether a streamed body is being sent, and the server has taken it so far. */
    public boolean isTakingStreamedBody() {
        return writer.isStreamedBodyTaken();
    }

    /** Reads all bytes that have arrived; the listener is notified before this returns. */
    public void readArrived() {
        read(Integer.MAX_VALUE);
    }

    /** Returns whether another request may be sent, as far as the connection has been read. */
    public boolean isIdle() {
        return open && decoder == null;
    }

    /** Returns whether no request has been sent on the connection yet. */
    public boolean isUnused() {
        return unused;
    }

    /**
     * Returns since when the connection has carried no request, by {@link EventLoop#now}. Undefined
     * while it carries a request.
     */
    public long idleSince() {
        return idleSince;
    }

    /** Reads what has arrived, and returns whether another request may be sent. */
    public boolean readAndCheckIdle() {
        if (decoder == null) {
            readArrived();
        }
        return isIdle();
    }

    /** Closes the connection at once, even within a request; the listener is not notified. */
    public void close() {
        listener = null;
        decoder = null;
        writer.close();
        if (open) {
            open = false;
            IoUtils.safeClose(connection);
            connectionListener.closed();
        }
    }

    /**
     * Reads bytes that have arrived, up to the limit or past it by less than a buffer. The selector
     * reports the rest again.
     */
    private void read(int limitBytes) {
        try (var pooled = loop.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            long readBytes = 0;
            while (open && !paused && readBytes < limitBytes) {
                buffer.clear();
                int count = source.read(buffer);
                if (count == 0) {
                    return;
                }
                if (count < 0) {
                    handleConnectionEnd();
                    return;
                }
                boolean mayHoldMore = !buffer.hasRemaining();
                buffer.flip();
                if (decoder == null) {
                    reportSurplus(buffer);
                    close();
                    return;
                }
                decode(buffer);
                if (!mayHoldMore) {
                    return; // the selector reports what arrives later
                }
                readBytes += buffer.capacity();
            }
        } catch (IOException e) {
            fail("breaks the connection");
        } catch (RuntimeException e) {
            LOG.error("a response is failed, as reading it threw an exception", e);
            fail("sends a response that this program can't handle");
        }
    }

    private void handleConnectionEnd() {
        if (decoder == null) {
            close();
        } else if (decoder.connectionEnded()) {
            completeAndClose();
        } else {
            fail("ends the connection before the response is complete");
        }
    }

    private void decode(ByteBuffer bytes) {
        ResponseDecoder current = decoder;
        boolean wasComplete = current.isComplete();
        try {
            current.decode(bytes);
        } catch (MalformedResponseException e) {
            fail("sends a malformed response: " + e.getMessage());
            return;
        }
        // the listener may have closed the connection meanwhile
        if (decoder == current && current.isComplete()) {
            if (!wasComplete) {
                idleSince = loop.now();
            }
            handleCompleteResponse(bytes);
        }
    }

    /**
     * @param rest the bytes that follow the response
     */
    private void handleCompleteResponse(ByteBuffer rest) {
        if (rest.hasRemaining()) {
            handleSurplusAfterResponse(rest);
        } else if (endRequired) {
            return; // the end of the connection is still to be read
        } else if (decoder.isKeepAlive() && writer.isFinished()) {
            completeAndBecomeIdle();
        } else {
            completeAndClose();
        }
    }

    private void handleSurplusAfterResponse(ByteBuffer rest) {
        boolean isAmbiguous = endRequired || startsResponse(rest);
        reportSurplus(rest);
        if (isAmbiguous) {
            fail("sends more than one response");
        } else {
            completeAndClose();
        }
    }

    private void reportSurplus(ByteBuffer bytes) {
        connectionListener.surplusReceived(
                new Surplus(loop.now() - idleSince, startsResponse(bytes)));
    }

    /** Returns whether the bytes may be the start of a response. */
    private static boolean startsResponse(ByteBuffer bytes) {
        String prefix = ResponseSyntax.VERSION_PREFIX;
        int count = Math.min(prefix.length(), bytes.remaining());
        for (int i = 0; i < count; i++) {
            if (bytes.get(bytes.position() + i) != prefix.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Handles the end of a response after which the connection can carry another request. */
    private void completeAndBecomeIdle() {
        ResponseListener notified = listener;
        listener = null;
        decoder = null;
        writer.responseCompleted();
        resume();
        notified.responseCompleted();
    }

    /** Handles the end of a response after which the connection can carry no other request. */
    private void completeAndClose() {
        ResponseListener notified = listener;
        close();
        notified.responseCompleted();
    }

    private void fail(String reason) {
        ResponseListener notified = listener;
        close();
        if (notified != null) {
            notified.exchangeFailed(reason);
        }
    }

    /** Passes the writer's events to the listener, unless the connection was closed. */
    private final class WriterListener implements RequestWriter.Listener {
        @Override
        public boolean mayWriteRequest() {
            return listener == null || listener.mayWriteRequest();
        }

        @Override
        public void requestSent() {
            if (listener != null) {
                listener.requestSent();
            }
        }

        @Override
        public void exchangeFailed(String reason) {
            fail(reason);
        }
    }
}
