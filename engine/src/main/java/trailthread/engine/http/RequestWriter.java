package trailthread.engine.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.ConduitStreamSinkChannel;
import trailthread.engine.loop.EventLoop;

/**
 * Writes the requests of one connection to its socket, one after another, as the socket takes them.
 */
final class RequestWriter {
    /** Receives the events of the request that is being written. */
    interface Listener {
        /** Returns whether the next part of the request may be written. */
        boolean mayBeWritten();

        /** The request's last byte has been written. */
        void requestSent();

        /** The request cannot be written completely. */
        void exchangeFailed(String reason);
    }

    /** The system call copies what it gets from a heap buffer, however little the socket takes. */
    private static final int MAX_WRITE_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final ConduitStreamSinkChannel channel;
    private final Listener listener;

    /** The head, and perhaps a short body behind it; null before the first request. */
    private ByteBuffer head;

    /** The rest of the body, or null. */
    private ByteBuffer body;

    /** The body if it is streamed, or null. */
    private StreamedRequestBody streamedBody;

    private boolean closed;

    RequestWriter(EventLoop loop, ConduitStreamSinkChannel channel, Listener listener) {
        this.loop = loop;
        this.channel = channel;
        this.listener = listener;
        channel.setWriteListener(writable -> write());
    }

    /**
     * Sets the request to write next.
     *
     * @param requestBody what follows the head, or null
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

    /** Writes what the socket takes now. */
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
            if (head != null) {
                listener.requestSent();
            }
        } catch (IOException e) {
            listener.exchangeFailed("breaks while the request is sent");
        }
    }

    /**
     * Writes one turn's part of the bytes.
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
            if (!listener.mayBeWritten()) {
                throw new IOException("the request may no longer be written");
            }
            int count = Math.min(bytes.remaining(), MAX_WRITE_BYTES);
            int written = channel.write(bytes.slice(bytes.position(), count));
            if (written == 0) {
                return false;
            }
            bytes.position(bytes.position() + written);
        }
        return true;
    }

    /** Calls {@link #write()} when the socket takes more. */
    void resumeWrites() {
        channel.resumeWrites();
    }

    /** Returns whether the request's last byte has been written. */
    boolean isSent() {
        return head != null
                && !head.hasRemaining()
                && (body == null || !body.hasRemaining())
                && (streamedBody == null || streamedBody.isSent());
    }

    /** Returns whether the request has been written, and the end of a streamed body is known. */
    boolean isFinished() {
        return isSent() && (streamedBody == null || streamedBody.hasEnded());
    }

    /** The response is complete, so that another request may follow. */
    void responseCompleted() {
        streamedBody = null;
    }

    boolean isClosed() {
        return closed;
    }

    /** Stops a streamed body; the connection is closed. */
    void close() {
        if (streamedBody != null) {
            streamedBody.stop();
        }
        closed = true;
    }

    /** All of a streamed body has been written, outside of {@link #write()}. */
    void streamedBodySent(StreamedRequestBody sent) {
        if (!closed && sent == streamedBody) {
            listener.requestSent();
        }
    }

    /** Reports a failure, a turn later, as the source of the body is calling. */
    void failLater(String reason) {
        loop.execute(() -> listener.exchangeFailed(reason));
    }

    /** Reports that the streamed body cannot be written completely. */
    void fail(String reason) {
        listener.exchangeFailed(reason);
    }
}
