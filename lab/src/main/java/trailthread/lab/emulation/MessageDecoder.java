package trailthread.lab.emulation;

import java.io.ByteArrayOutputStream;
import java.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads HTTP/1.1 messages however they come in pieces; pure. A reader of the lab's own, so that
 * what the node's readers and writers have in common by mistake shows (RFC 9112, 6 and 7.1;
 * trailers are dropped).
 */
final class MessageDecoder {
    private static final int MOST_LINE = 16 * 1024;
    private static final int MOST_BODY = 1 << 20;

    private enum State {
        START,
        HEADERS,
        BODY,
        SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS
    }

    private State state = State.START;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private String start;
    private Map<String, String> headers = new LinkedHashMap<>();
    private int left;

    /** Whether a message has begun and is not whole. */
    boolean isWithin() {
        return state != State.START || line.size() > 0;
    }

    /**
     * Takes in what has come, up to the end of one message.
     *
     * @return the message, once it is whole; else null
     * @throws ProtocolException if it is none that can be read; nothing more can be read then
     */
    HttpMessage decode(ByteBuffer in) throws ProtocolException {
        while (in.hasRemaining()) {
            if (state == State.BODY || state == State.CHUNK) {
                int count = Math.min(left, in.remaining());
                byte[] piece = new byte[count];
                in.get(piece);
                body.writeBytes(piece);
                left -= count;
                if (left == 0 && state == State.BODY) {
                    return whole();
                }
                state = left == 0 ? State.CHUNK_END : state;
            } else if (completesLine(in)) {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                line.reset();
                HttpMessage message = take(text);
                if (message != null) {
                    return message;
                }
            }
        }
        return null;
    }

    private boolean completesLine(ByteBuffer in) throws ProtocolException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                return true;
            }
            if (line.size() == MOST_LINE) {
                throw new ProtocolException("a line without end");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return false;
    }

    private HttpMessage take(String text) throws ProtocolException {
        switch (state) {
            case START -> {
                if (!text.contains("HTTP/1.")) {
                    throw new ProtocolException("no first line: " + text);
                }
                start = text;
                state = State.HEADERS;
            }
            case HEADERS -> {
                if (text.isEmpty()) {
                    return headEnds();
                }
                int colon = text.indexOf(':');
                if (colon < 1) {
                    throw new ProtocolException("no header: " + text);
                }
                headers.put(
                        text.substring(0, colon).toLowerCase(Locale.ROOT),
                        text.substring(colon + 1).strip());
            }
            case SIZE -> {
                left = number(text.split(";")[0].strip(), 16);
                state = left == 0 ? State.TRAILERS : State.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new ProtocolException("a chunk past its size");
                }
                state = State.SIZE;
            }
            case TRAILERS -> {
                return text.isEmpty() ? whole() : null;
            }
            default -> throw new IllegalStateException(state.name());
        }
        return null;
    }

    private HttpMessage headEnds() throws ProtocolException {
        String length = headers.get("content-length");
        String coding = headers.get("transfer-encoding");
        if (length != null && coding != null) {
            throw new ProtocolException("two lengths");
        }
        if (coding != null && !coding.equalsIgnoreCase("chunked")) {
            throw new ProtocolException("a coding that is not known: " + coding);
        }
        left = length == null ? 0 : number(length, 10);
        state = coding != null ? State.SIZE : State.BODY;
        return state == State.BODY && left == 0 ? whole() : null;
    }

    private int number(String text, int radix) throws ProtocolException {
        try {
            int number = Integer.parseUnsignedInt(text, radix);
            if (number >= 0 && body.size() + (long) number <= MOST_BODY) {
                return number;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new ProtocolException("no length that can be: " + text);
    }

    private HttpMessage whole() {
        HttpMessage message = new HttpMessage(start, headers, body.toByteArray());
        state = State.START;
        headers = new LinkedHashMap<>();
        body = new ByteArrayOutputStream();
        return message;
    }
}
