package trailthread.lab.emulation;

import java.io.ByteArrayOutputStream;
import java.net.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Decodes HTTP/1.1 messages that arrive in pieces of any size; performs no I/O. It shares no code
 * with the node's parser, so that it exposes mistakes that the node's parser and serializer have in
 * common (RFC 9112, sections 6 and 7.1; trailers are dropped).
 */
final class MessageDecoder {
    private static final int MAX_LINE_BYTES = 16 * 1024;
    private static final int MAX_BODY_BYTES = 1 << 20;

    private enum State {
        START,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS
    }

    private State state = State.START;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private String startLine;
    private Map<String, String> headers = new LinkedHashMap<>();
    private int remaining;

    /** Whether a message has been decoded in part. */
    boolean isMidMessage() {
        return state != State.START || line.size() > 0;
    }

    /**
     * Consumes bytes up to the end of one message.
     *
     * @return the message if these bytes complete it, else null
     * @throws ProtocolException if the message is malformed; this decoder can't be used any more
     */
    HttpMessage decode(ByteBuffer in) throws ProtocolException {
        while (in.hasRemaining()) {
            if (state == State.BODY || state == State.CHUNK_DATA) {
                int count = Math.min(remaining, in.remaining());
                byte[] piece = new byte[count];
                in.get(piece);
                body.writeBytes(piece);
                remaining -= count;
                if (remaining == 0 && state == State.BODY) {
                    return completeMessage();
                }
                state = remaining == 0 ? State.CHUNK_END : state;
            } else if (completesLine(in)) {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                line.reset();
                HttpMessage message = acceptLine(text);
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
            if (line.size() == MAX_LINE_BYTES) {
                throw new ProtocolException("line longer than " + MAX_LINE_BYTES + " bytes");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return false;
    }

    private HttpMessage acceptLine(String text) throws ProtocolException {
        switch (state) {
            case START -> {
                if (!text.contains("HTTP/1.")) {
                    throw new ProtocolException("malformed start line: " + text);
                }
                startLine = text;
                state = State.HEADERS;
            }
            case HEADERS -> {
                if (text.isEmpty()) {
                    return endHeaders();
                }
                int colon = text.indexOf(':');
                if (colon < 1) {
                    throw new ProtocolException("malformed header: " + text);
                }
                headers.put(
                        text.substring(0, colon).toLowerCase(Locale.ROOT),
                        text.substring(colon + 1).strip());
            }
            case CHUNK_SIZE -> {
                remaining = parseLength(text.split(";")[0].strip(), 16);
                state = remaining == 0 ? State.TRAILERS : State.CHUNK_DATA;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new ProtocolException("chunk longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> {
                return text.isEmpty() ? completeMessage() : null;
            }
            default -> throw new IllegalStateException(state.name());
        }
        return null;
    }

    private HttpMessage endHeaders() throws ProtocolException {
        String contentLength = headers.get("content-length");
        String transferCoding = headers.get("transfer-encoding");
        if (contentLength != null && transferCoding != null) {
            throw new ProtocolException("both Content-Length and Transfer-Encoding");
        }
        if (transferCoding != null && !transferCoding.equalsIgnoreCase("chunked")) {
            throw new ProtocolException("unsupported transfer coding: " + transferCoding);
        }
        remaining = contentLength == null ? 0 : parseLength(contentLength, 10);
        state = transferCoding != null ? State.CHUNK_SIZE : State.BODY;
        return state == State.BODY && remaining == 0 ? completeMessage() : null;
    }

    private int parseLength(String text, int radix) throws ProtocolException {
        try {
            int length = Integer.parseUnsignedInt(text, radix);
            if (length >= 0 && body.size() + (long) length <= MAX_BODY_BYTES) {
                return length;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new ProtocolException("invalid length: " + text);
    }

    private HttpMessage completeMessage() {
        HttpMessage message = new HttpMessage(startLine, headers, body.toByteArray());
        state = State.START;
        headers = new LinkedHashMap<>();
        body = new ByteArrayOutputStream();
        return message;
    }
}
