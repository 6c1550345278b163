package trailthread.engine.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.conduits.ConduitStreamSinkChannel;
import trailthread.engine.loop.EventLoop;

/**
 * Writes the requests of one connection to its socket, one after another, as the socket accepts
 * them.
 */
final class RequestWriter {
    /** Receives the events of the request that is being written. */
    interface Listener {
        /** Returns whether the next part of the request may be written. */
        boolean mayWriteRequest();

        /** The request's last byte has been written. */
        void requestSent();

        /** The request cannot be written completely. */
        void exchangeFailed(String reason);
    }

    /**
     * Limits the bytes that are passed to one system call: all of them are copied from the heap
     * buffer, even if the socket accepts few.
     */
    private static final int MAX_WRITE_BYTES = 64 * 1024;

    /** A socket that has accepted nothing for this long is not read by its server. */
    private static final long MAX_STALL_NS = 500_000_000L;

    private static final Logger LOG = LoggerFactory.getLogger(RequestWriter.class);
    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    private final EventLoop loop;
    private final ConduitStreamSinkChannel channel;
    private final Listener listener;

    /** The request's head, followed by its body if that is short; null before the first request. */
    private ByteBuffer head;

    /** A body that is not in the same buffer as the head, or null. */
    private ByteBuffer body;

    /** A streamed body, or null. */
    private StreamedRequestBody streamedBody;

    private boolean closed;

    /** When the socket last accepted bytes. */
    private long acceptedAt;

    RequestWriter(EventLoop loop, ConduitStreamSinkChannel channel, Listener listener) {
        this.loop = loop;
        this.channel = channel;
        this.listener = listener;
        channel.setWriteListener(writable -> write());
    }

    /**
     * Sets the request to write next.
     *
     * @param requestBody the bytes that follow the head, or null
     */
    void setRequest(ByteBuffer requestHead, ByteBuffer requestBody) {
        head = requestHead;
        body = requestBody;
    }

    /** Sets the request to write next, with a body that is streamed. */
    void setRequest(ByteBuffer requestHead, ByteSource requestBody) {
        setRequest(requestHead, (ByteBuffer) null);
        streamedBody = new StreamedRequestBody(requestBody, this);
    }

    /** Writes as much of the request as the socket accepts now. */
    void write() {
        try {
            if (!write(head) || !write(body)) {
                channel.resumeWrites();
                return;
            }
            channel.suspendWrites();
            if (streamedBody != null && !streamedBody.write()) {
                return;
            }
            body = null;
            if (head != null) {
                listener.requestSent();
            }
        } catch (IOException e) {
            listener.exchangeFailed("breaks the connection while the request is sent");
        } catch (RuntimeException e) {
            LOG.error("a request is failed, as writing it threw an exception", e);
            listener.exchangeFailed("is sent a request that this program can't write");
        }
    }

    /**
     * Writes what the socket accepts of the bytes, up to {@link EventLoop#MAX_BYTES_PER_PASS}.
     *
     * @param bytes may be null
     * @return whether all of them have been written
     */
    boolean write(ByteBuffer bytes) throws IOException {
        if (bytes == null) {
            return true;
        }
        int end = bytes.position() + EventLoop.MAX_BYTES_PER_PASS;
        while (bytes.hasRemaining()) {
            if (bytes.position() >= end) {
                return false;
            }
            if (!listener.mayWriteRequest()) {
                throw new IOException("the request may not be written any more");
            }
            int count = Math.min(bytes.remaining(), MAX_WRITE_BYTES);
            int written = channel.write(bytes.slice(bytes.position(), count));
            if (written == 0) {
                return false;
            }
            bytes.position(bytes.position() + written);
            acceptedAt = loop.now();
        }
        return true;
    }

    /** Returns whether a streamed body is being sent, and the socket has accepted it so far. */
    boolean isStreamedBodyTaken() {
        return streamedBody != null
                && (!streamedBody.hasUnwritten() || loop.now() - acceptedAt < MAX_STALL_NS);
    }

    /** Calls {@link #write()} when the socket accepts more bytes. */
    void resumeWrites() {
        channel.resumeWrites();
    }

    /** Returns whether the request's last byte has been written. */
    boolean isRequestSent() {
        return head != null
                && !head.hasRemaining()
                && (body == null || !body.hasRemaining())
                && (streamedBody == null || streamedBody.isBodySent());
    }

    /** Returns whether the request was written and the source of a streamed body has ended it. */
    boolean isFinished() {
        return isRequestSent() && (streamedBody == null || streamedBody.hasEnded());
    }

    /** Handles the end of the response: another request may follow. Keeps none of this one. */
    void responseCompleted() {
        head = NOTHING;
        streamedBody = null;
    }

    boolean isClosed() {
        return closed;
    }

    /** Stops the source of a streamed body, as the connection is closed. */
    void close() {
        if (streamedBody != null) {
            streamedBody.stop();
        }
        closed = true;
    }

    /** Handles the last byte of a streamed body, if not written by {@link #write()}. */
    void streamedBodySent(StreamedRequestBody sent) {
        if (!closed && sent == streamedBody) {
            listener.requestSent();
        }
    }

    /**
     * Reports a failure in a later task. A failure stops the source of the body, which must not be
     * stopped from within its own call.
     */
    void failLater(String reason) {
        loop.execute(() -> listener.exchangeFailed(reason));
    }

    /** Reports that the streamed body cannot be written completely. */
    void fail(String reason) {
        listener.exchangeFailed(reason);
    }
}
