package trailthread.engine.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A request body that is written while it arrives. Bytes that the socket does not accept are
 * buffered, and the source pauses until they are written.
 */
final class StreamedRequestBody implements ByteSink {
    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int HEXADECIMAL = 16;

    private final ByteSource source;
    private final RequestWriter writer;
    private final boolean isChunked;

    /** Bytes that the socket has not accepted yet, or null. */
    private ByteBuffer unwritten;

    /** The number of bytes that are still to arrive; negative: not known. */
    private long remaining;

    private boolean ended;
    private boolean writeFailed;

    StreamedRequestBody(ByteSource source, RequestWriter writer) {
        this.source = source;
        this.writer = writer;
        remaining = source.length();
        isChunked = remaining < 0;
    }

    /** Returns whether the last byte was written, even if the source has not reported the end. */
    boolean isBodySent() {
        return unwritten == null && !writeFailed && (ended || remaining == 0);
    }

    /** Returns whether the socket has yet to accept bytes that have arrived. */
    boolean hasUnwritten() {
        return unwritten != null;
    }

    /** Returns whether the source has reported the end of the body. */
    boolean hasEnded() {
        return ended;
    }

    /**
     * Starts the source, or writes as many buffered bytes as the socket accepts now.
     *
     * @return whether this call has written the last byte
     */
    boolean write() throws IOException {
        if (!source.isStarted()) {
            source.streamTo(this); // writePiece and endBody then write the body and report its end
            return false;
        }
        if (unwritten == null) {
            return false;
        }
        if (!writer.write(unwritten)) {
            writer.resumeWrites();
            return false;
        }
        unwritten = null;
        if (!ended) {
            source.resume(); // may call endBody, which then reports the last byte
            return false;
        }
        return true;
    }

    /** Stops the source if it was started. */
    void stop() {
        if (source.isStarted()) {
            source.stop();
        }
    }

    @Override
    public boolean writePiece(ByteBuffer piece) {
        remaining -= piece.remaining();
        return writeOrBuffer(isChunked ? chunk(piece) : piece);
    }

    private static ByteBuffer chunk(ByteBuffer piece) {
        String size = Integer.toString(piece.remaining(), HEXADECIMAL);
        byte[] sizeBytes = size.getBytes(StandardCharsets.US_ASCII);
        int length = sizeBytes.length + CRLF.length + piece.remaining() + CRLF.length;
        return ByteBuffer.allocate(length).put(sizeBytes).put(CRLF).put(piece).put(CRLF).flip();
    }

    /**
     * Returns whether the socket accepted all bytes; if not, the rest is buffered. The bytes are
     * dropped once the connection is closed or a write has failed.
     */
    private boolean writeOrBuffer(ByteBuffer bytes) {
        if (writer.isClosed() || writeFailed) {
            return !writeFailed;
        }
        try {
            if (unwritten == null && writer.write(bytes)) {
                return true;
            }
        } catch (IOException e) {
            writeFailed = true;
            writer.failLater("breaks the connection while the body is sent");
            return false;
        }
        buffer(bytes);
        writer.resumeWrites();
        return false;
    }

    private void buffer(ByteBuffer bytes) {
        int buffered = unwritten == null ? 0 : unwritten.remaining();
        ByteBuffer all = ByteBuffer.allocate(buffered + bytes.remaining());
        if (unwritten != null) {
            all.put(unwritten);
        }
        unwritten = all.put(bytes).flip();
    }

    @Override
    public void endBody() {
        ended = true;
        if (isChunked) {
            writeOrBuffer(ByteBuffer.wrap(LAST_CHUNK));
        }
        if (isBodySent()) {
            writer.streamedBodySent(this);
        }
    }

    @Override
    public void abortBody() {
        writer.fail("gets a request whose body was cut off");
    }
}
