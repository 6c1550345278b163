package trailthread.engine.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Encodes one HTTP/1.1 request. Names and values are written as they are; the caller ensures that
 * they hold no line ends.
 */
public final class RequestEncoder {
    private static final int INITIAL_HEAD_CHARS = 256;

    private final StringBuilder head = new StringBuilder(INITIAL_HEAD_CHARS);

    /** Starts a request with its request line and its Host header. */
    public RequestEncoder(String method, String target, String host) {
        head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        header("Host", host);
    }

    /**
     * Adds a header.
     *
     * @param value null: no header is added
     */
    public RequestEncoder header(String name, String value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        return this;
    }

    /**
     * Returns the head of a request whose body is sent separately.
     *
     * @param bodyBytes the length of the body; -1: not known, the body is sent in chunks
     */
    public ByteBuffer encodeHead(long bodyBytes) {
        if (bodyBytes < 0) {
            header("Transfer-Encoding", "chunked");
        } else {
            header("Content-Length", Long.toString(bodyBytes));
        }
        return ByteBuffer.wrap(headBytes());
    }

    /**
     * Returns the complete request.
     *
     * @param body null: the request has no body
     */
    public ByteBuffer encode(byte[] body) {
        if (body != null) {
            header("Content-Length", Integer.toString(body.length));
        }
        byte[] start = headBytes();
        if (body == null) {
            return ByteBuffer.wrap(start);
        }
        return ByteBuffer.allocate(start.length + body.length).put(start).put(body).flip();
    }

    private byte[] headBytes() {
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
