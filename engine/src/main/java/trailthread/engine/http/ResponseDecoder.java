package trailthread.engine.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Decodes one HTTP/1.1 response from the pieces in which it arrives. Does no I/O.
 *
 * <p>It rejects any response for which two readers could differ on where it ends. Undertow's own
 * client is not used, as it accepts several or negative lengths, takes an interim response for the
 * final one, and waits for a head that never ends.
 */
final class ResponseDecoder {
    private static final int INITIAL_LINE_BYTES = 128;

    /** Limits the bytes of all heads together, and of the lines between two chunks. */
    private static final int MAX_LINE_BYTES = 16 * 1024;

    /** {@link HeaderMap} throws if it holds a few more headers of one name than this. */
    private static final int MAX_HEADERS = 100;

    private static final int MIN_FINAL_STATUS = 200;

    private enum State {
        STATUS_LINE,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        BODY_UNTIL_CLOSE,
        COMPLETE
    }

    private final ResponseListener listener;
    private final long maxBodyBytes;
    private final boolean isHeadRequest;
    private State state = State.STATUS_LINE;

    /** The part of the current line that has arrived. */
    private byte[] line = new byte[INITIAL_LINE_BYTES];

    private int lineLength;

    /** The number of bytes of all lines since the start, or since the last chunk. */
    private int lineBytes;

    private int headerCount;
    private int status;
    private HeaderMap headers = new HeaderMap();

    /** The number of bytes of the body or the chunk that are still to be received. */
    private long remaining;

    /** The size of all chunks so far, or of the received part of a body without a length. */
    private long bodyBytes;

    private boolean keepAlive = true;

    /**
     * @param maxBodyBytes a response with a longer body is malformed
     */
    ResponseDecoder(ResponseListener listener, long maxBodyBytes) {
        this(listener, maxBodyBytes, false);
    }

    /**
     * @param maxBodyBytes a response with a longer body is malformed
     * @param isHeadRequest whether the request's method was HEAD, so that the response has no body
     *     whatever its head says (RFC 9112, 6.3)
     */
    ResponseDecoder(ResponseListener listener, long maxBodyBytes, boolean isHeadRequest) {
        this.listener = listener;
        this.maxBodyBytes = maxBodyBytes;
        this.isHeadRequest = isHeadRequest;
    }

    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Returns whether the response allows the connection to carry another request. */
    boolean isKeepAlive() {
        return keepAlive;
    }

    /** Decodes the bytes that have arrived, up to the end of the response. */
    void decode(ByteBuffer in) throws MalformedResponseException {
        while (in.hasRemaining() && state != State.COMPLETE) {
            switch (state) {
                case BODY, CHUNK -> decodeBody(in);
                case BODY_UNTIL_CLOSE -> {
                    countBodyBytes(in.remaining());
                    listener.bodyReceived(in.slice());
                    in.position(in.limit());
                }
                default -> {
                    if (readLine(in)) {
                        decodeLine(takeLine());
                    }
                }
            }
        }
    }

    /**
     * Handles the regular end of the connection.
     *
     * @return whether the response is complete
     */
    boolean connectionEnded() {
        if (state == State.BODY_UNTIL_CLOSE) {
            state = State.COMPLETE;
        }
        return state == State.COMPLETE;
    }

    private void decodeBody(ByteBuffer in) {
        int count = (int) Math.min(remaining, in.remaining());
        ByteBuffer piece = in.slice(in.position(), count);
        in.position(in.position() + count);
        remaining -= count;
        listener.bodyReceived(piece);
        if (remaining == 0) {
            state = state == State.BODY ? State.COMPLETE : State.CHUNK_END;
        }
    }

    private void countBodyBytes(long count) throws MalformedResponseException {
        bodyBytes += count;
        if (bodyBytes > maxBodyBytes) {
            throw new MalformedResponseException("a body of more than " + maxBodyBytes + " bytes");
        }
    }

    /** Reads up to the end of the line; returns whether the line is complete. */
    private boolean readLine(ByteBuffer in) throws MalformedResponseException {
        int start = in.position();
        int end = start;
        while (end < in.limit() && in.get(end) != '\n') {
            end++;
        }
        boolean isLineEnd = end < in.limit();
        int count = end - start;
        lineBytes += count + (isLineEnd ? 1 : 0);
        if (lineBytes > MAX_LINE_BYTES) {
            throw new MalformedResponseException(
                    "a head or chunk line of more than " + MAX_LINE_BYTES + " bytes");
        }
        if (lineLength + count > line.length) {
            line = Arrays.copyOf(line, Math.max(2 * line.length, lineLength + count));
        }
        in.get(line, lineLength, count);
        lineLength += count;
        if (state == State.STATUS_LINE) {
            checkVersionPrefix();
        }
        if (isLineEnd) {
            in.get();
        }
        return isLineEnd;
    }

    /** Rejects another protocol than HTTP at once, as the end of its line may never arrive. */
    private void checkVersionPrefix() throws MalformedResponseException {
        String prefix = ResponseSyntax.VERSION_PREFIX;
        int count = Math.min(lineLength, prefix.length());
        for (int i = 0; i < count; i++) {
            if (line[i] != prefix.charAt(i)) {
                throw new MalformedResponseException("a protocol other than HTTP/1");
            }
        }
    }

    /** Returns the current line without its end, and starts the next one. */
    private String takeLine() {
        boolean endsWithCr = lineLength > 0 && line[lineLength - 1] == '\r';
        int length = endsWithCr ? lineLength - 1 : lineLength;
        lineLength = 0;
        return new String(line, 0, length, StandardCharsets.ISO_8859_1);
    }

    private void decodeLine(String text) throws MalformedResponseException {
        switch (state) {
            case STATUS_LINE -> startHead(text);
            case HEADERS -> {
                if (text.isEmpty()) {
                    endHead();
                } else {
                    addHeader(text);
                }
            }
            case CHUNK_SIZE -> startChunk(text);
            case CHUNK_END -> endChunk(text);
            default -> { // a trailer, which is ignored
                if (text.isEmpty()) {
                    state = State.COMPLETE;
                }
            }
        }
    }

    private void startHead(String statusLine) throws MalformedResponseException {
        status = ResponseSyntax.parseStatus(statusLine);
        keepAlive = ResponseSyntax.keepsAliveByDefault(statusLine);
        headers = new HeaderMap();
        state = State.HEADERS;
    }

    private void addHeader(String text) throws MalformedResponseException {
        headerCount++;
        if (headerCount > MAX_HEADERS) {
            throw new MalformedResponseException("more than " + MAX_HEADERS + " headers");
        }
        ResponseSyntax.parseHeader(text, headers);
    }

    private void endHead() throws MalformedResponseException {
        if (status == StatusCodes.SWITCHING_PROTOCOLS) {
            throw new MalformedResponseException("an upgrade that was not requested");
        }
        if (status < MIN_FINAL_STATUS) {
            state = State.STATUS_LINE; // an interim response; the head of another response follows
            return;
        }
        if ("close".equalsIgnoreCase(headers.getFirst(Headers.CONNECTION))) {
            keepAlive = false;
        }
        BodyFraming framing = BodyFraming.of(status, headers, isHeadRequest);
        remaining = contentLength(framing);
        state =
                switch (framing) {
                    case NONE -> State.COMPLETE;
                    case CONTENT_LENGTH -> remaining == 0 ? State.COMPLETE : State.BODY;
                    case CHUNKED -> State.CHUNK_SIZE;
                    case UNTIL_CLOSE -> State.BODY_UNTIL_CLOSE;
                };
        keepAlive &= framing != BodyFraming.UNTIL_CLOSE;
        listener.headReceived(status, headers);
    }

    private long contentLength(BodyFraming framing) throws MalformedResponseException {
        String value = headers.getFirst(Headers.CONTENT_LENGTH);
        long length = value == null ? 0 : ResponseSyntax.parseContentLength(value);
        if (length < 0 || (length > maxBodyBytes && framing != BodyFraming.NONE)) {
            throw new MalformedResponseException("an invalid or excessive Content-Length");
        }
        return length;
    }

    private void startChunk(String sizeLine) throws MalformedResponseException {
        remaining = ResponseSyntax.parseChunkSize(sizeLine);
        countBodyBytes(remaining);
        state = remaining == 0 ? State.TRAILERS : State.CHUNK;
    }

    private void endChunk(String text) throws MalformedResponseException {
        if (!text.isEmpty()) {
            throw new MalformedResponseException("a chunk longer than its size");
        }
        lineBytes = 0; // chunks are not limited in number: the response to a watch lasts for days
        state = State.CHUNK_SIZE;
    }
}
