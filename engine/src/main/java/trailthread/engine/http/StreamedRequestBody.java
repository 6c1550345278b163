package trailthread.engine.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A request body that is written while it arrives. What the socket does not take is buffered, and
 * the source pauses until it is written.
 */
final class StreamedRequestBody implements ByteSink {
    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int HEXADECIMAL = 16;

    private final ByteSource source;
    private final RequestWriter writer;
    private final boolean isChunked;

    /** What the socket has not taken yet, or null. */
    private ByteBuffer unwritten;

    /** The bytes that are still to arrive; negative: not known. */
    private long remaining;

    private boolean ended;
    private boolean writeFailed;

    StreamedRequestBody(ByteSource source, RequestWriter writer) {
        this.source = source;
        this.writer = writer;
        remaining = source.length();
        isChunked = remaining < 0;
    }

    /** Returns whether the last byte has been written, even if the source has not said so yet. */
    boolean isSent() {
        return unwritten == null && !writeFailed && (ended || remaining == 0);
    }

    /** Returns whether the source has said that the body is complete. */
    boolean hasEnded() {
        return ended;
    }

    /**
     * Writes what the socket takes now, or starts the source.
     *
     * @return whether this call has written the last byte
     */
    boolean write() throws IOException {
        if (!source.isStarted()) {
            source.streamTo(this); // the pieces are written, and the end reported, as they arrive
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
            source.resume(); // may bring the end, which is reported then
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

    /** Returns whether the socket took all of it. */
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
            writer.failLater("breaks while the body is sent");
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
        if (isSent()) {
            writer.streamedBodySent(this);
        }
    }

    @Override
    public void abortBody() {
        writer.fail("its body breaks off");
    }
}
