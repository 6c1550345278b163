package trailthread.engine.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads one HTTP/1.1 answer, however it comes in pieces; pure. Strict where two readers could
 * differ on where an answer ends: Undertow's own client takes the first of two lengths, a negative
 * one, and an interim answer for the final one, and serves what no endpoint made; it also waits for
 * a head that never ends.
 */
final class ResponseDecoder {
    private static final String VERSION = "HTTP/1.";
    private static final int STATUS_AT = "HTTP/1.1 ".length();
    private static final int LEAST_LINE = "HTTP/1.1 200".length();

    /** For all that is not body, interim answers and the lines between chunks too. */
    private static final int MOST_LINE_BYTES = 16 * 1024;

    /** The header map throws at some more of one name. */
    private static final int MOST_HEADERS = 100;

    private enum State {
        STATUS,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        REST,
        WHOLE
    }

    private final ResponseListener out;
    private final long mostBodyBytes;
    private final boolean bodiless;
    private State state = State.STATUS;
    private byte[] line = new byte[128];
    private int lineLength;
    private int lineBytes;
    private int headerCount;
    private int status;
    private HeaderMap headers = new HeaderMap();

    /** Of the body or the chunk, yet to come. */
    private long left;

    private long bodyBytes;
    private boolean lasting = true;

    /**
     * @param mostBodyBytes what promises or brings more is malformed
     */
    ResponseDecoder(ResponseListener out, long mostBodyBytes) {
        this(out, mostBodyBytes, false);
    }

    /**
     * The same.
     *
     * @param bodiless whether the answer has no body whatever its head says: it is one to HEAD (RFC
     *     9112, 6.3)
     */
    ResponseDecoder(ResponseListener out, long mostBodyBytes, boolean bodiless) {
        this.out = out;
        this.mostBodyBytes = mostBodyBytes;
        this.bodiless = bodiless;
    }

    boolean isWhole() {
        return state == State.WHOLE;
    }

    /** Whether the connection may carry another request, by what the answer says. */
    boolean isLasting() {
        return lasting;
    }

    /** Takes in what has come, as far as it belongs to the answer. */
    void decode(ByteBuffer in) throws MalformedResponseException {
        while (in.hasRemaining() && state != State.WHOLE) {
            switch (state) {
                case BODY, CHUNK -> piece(in);
                case REST -> {
                    grow(in.remaining());
                    out.body(in.slice());
                    in.position(in.limit());
                }
                default -> {
                    if (completesLine(in)) {
                        take(takeLine());
                    }
                }
            }
        }
    }

    /** The connection has ended in order; whether that is the answer's end. */
    boolean endsWithConnection() {
        if (state == State.REST) {
            state = State.WHOLE;
        }
        return state == State.WHOLE;
    }

    private void piece(ByteBuffer in) {
        int count = (int) Math.min(left, in.remaining());
        ByteBuffer piece = in.slice(in.position(), count);
        in.position(in.position() + count);
        left -= count;
        out.body(piece);
        if (left == 0) {
            if (state == State.BODY) {
                state = State.WHOLE;
            } else {
                state = State.CHUNK_END;
            }
        }
    }

    /** A chunk is to come; what promises more than the most is no answer. */
    private void grow(long count) throws MalformedResponseException {
        bodyBytes += count;
        if (bodyBytes > mostBodyBytes) {
            throw new MalformedResponseException("a body of more than " + mostBodyBytes + " bytes");
        }
    }

    /** Takes letters up to the end of the line, or of what has come; whether the line is whole. */
    private boolean completesLine(ByteBuffer in) throws MalformedResponseException {
        int from = in.position();
        int to = from;
        while (to < in.limit() && in.get(to) != '\n') {
            to++;
        }
        boolean ends = to < in.limit();
        lineBytes += to - from + (ends ? 1 : 0);
        if (lineBytes > MOST_LINE_BYTES) {
            throw new MalformedResponseException("a head without end");
        }
        if (lineLength + to - from > line.length) {
            line = Arrays.copyOf(line, Math.max(2 * line.length, lineLength + to - from));
        }
        in.get(line, lineLength, to - from);
        lineLength += to - from;
        int told = state == State.STATUS ? Math.min(lineLength, VERSION.length()) : 0;
        for (int i = 0; i < told; i++) {
            if (line[i]
                    != VERSION.charAt(
                            i)) { // noise is told at once: it may never bring a line's end
                throw new MalformedResponseException("no HTTP");
            }
        }
        if (ends) {
            in.get();
        }
        return ends;
    }

    /** The line without its end, as letters of one byte each. */
    private String takeLine() {
        boolean returned = lineLength > 0 && line[lineLength - 1] == '\r';
        int length = returned ? lineLength - 1 : lineLength;
        lineLength = 0;
        return new String(line, 0, length, StandardCharsets.ISO_8859_1);
    }

    private void take(String whole) throws MalformedResponseException {
        switch (state) {
            case STATUS -> {
                status = status(whole);
                lasting = whole.startsWith("HTTP/1.1");
                headers = new HeaderMap();
                state = State.HEADERS;
            }
            case HEADERS -> {
                if (whole.isEmpty()) {
                    headEnds();
                } else {
                    header(whole);
                }
            }
            case CHUNK_SIZE -> {
                left = chunkSize(whole);
                state = left == 0 ? State.TRAILERS : State.CHUNK;
            }
            case CHUNK_END -> {
                if (!whole.isEmpty()) {
                    throw new MalformedResponseException("a chunk longer than its size");
                }
                lineBytes = 0; // a watch has no end of chunks
                state = State.CHUNK_SIZE;
            }
            default -> { // trailers, which say nothing that is used here
                if (whole.isEmpty()) {
                    state = State.WHOLE;
                }
            }
        }
    }

    private static int status(String line) throws MalformedResponseException {
        boolean shaped =
                line.length() >= LEAST_LINE
                        && line.startsWith(VERSION)
                        && line.charAt(STATUS_AT - 1) == ' '
                        && (line.length() == LEAST_LINE || line.charAt(LEAST_LINE) == ' ');
        long status = shaped ? whole(line.substring(STATUS_AT, LEAST_LINE), 10) : -1;
        if (status < 100) {
            throw new MalformedResponseException("no status");
        }
        return (int) status;
    }

    private void header(String line) throws MalformedResponseException {
        int colon = line.indexOf(':');
        for (int i = 0; i < colon; i++) {
            char c = line.charAt(i);
            if (c <= ' ' || c >= 0x7f) {
                colon = 0;
            }
        }
        if (++headerCount > MOST_HEADERS) {
            throw new MalformedResponseException("headers without end");
        }
        if (colon <= 0) {
            throw new MalformedResponseException("a header without a name");
        }
        headers.add(
                new HttpString(line.substring(0, colon).getBytes(StandardCharsets.ISO_8859_1)),
                line.substring(colon + 1).strip());
    }

    private void headEnds() throws MalformedResponseException {
        if (status == 101) {
            throw new MalformedResponseException("another protocol, unasked");
        }
        if (status < 200) {
            state = State.STATUS;
            return;
        }
        if ("close".equalsIgnoreCase(headers.getFirst(Headers.CONNECTION))) {
            lasting = false;
        }
        boolean chunked = headers.contains(Headers.TRANSFER_ENCODING);
        int lengths = headers.count(Headers.CONTENT_LENGTH);
        if (lengths > 1
                || (chunked
                        && (lengths > 0
                                || headers.count(Headers.TRANSFER_ENCODING) > 1
                                || !"chunked"
                                        .equalsIgnoreCase(
                                                headers.getFirst(Headers.TRANSFER_ENCODING))))) {
            throw new MalformedResponseException("an unclear length");
        }
        boolean bare = bodiless || status == 204 || status == 304;
        boolean ends = lengths == 0 && !chunked && !bare; // with its connection: RFC 9112, 6.3
        lasting &= !ends;
        left = lengths == 1 ? whole(headers.getFirst(Headers.CONTENT_LENGTH), 10) : 0;
        if (left < 0 || (left > mostBodyBytes && !bare)) {
            throw new MalformedResponseException("a length that can't be");
        }
        state =
                ends
                        ? State.REST
                        : bare || (!chunked && left == 0)
                                ? State.WHOLE
                                : chunked ? State.CHUNK_SIZE : State.BODY;
        out.head(status, headers);
    }

    private long chunkSize(String line) throws MalformedResponseException {
        int extension = line.indexOf(';');
        long size = whole((extension < 0 ? line : line.substring(0, extension)).strip(), 16);
        if (size < 0) {
            throw new MalformedResponseException("a chunk without a size");
        }
        grow(size);
        return size;
    }

    /** A whole number of digits alone, or -1. */
    private static long whole(String digits, int radix) {
        if (digits.isEmpty() || digits.length() > 15) {
            return -1;
        }
        for (int i = 0; i < digits.length(); i++) {
            if (digits.charAt(i) >= 0x80 || Character.digit(digits.charAt(i), radix) < 0) {
                return -1;
            }
        }
        return Long.parseLong(digits, radix);
    }
}
