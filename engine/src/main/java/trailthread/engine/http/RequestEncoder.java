package trailthread.engine.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Writes one HTTP/1.1 request, in one piece; pure. What it is given must be fit for a head. */
public final class RequestEncoder {
    private final StringBuilder head = new StringBuilder(256);

    public RequestEncoder(String method, String target, String host) {
        head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        header("Host", host);
    }

    /** Adds a header; null: there is none. */
    public RequestEncoder header(String name, String value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        return this;
    }

    /**
     * The head of a request with a body of so many bytes, or of untold length (-1), which is sent
     * after it.
     */
    public ByteBuffer encodeHead(long bodyBytes) {
        if (bodyBytes < 0) {
            header("Transfer-Encoding", "chunked");
        } else {
            header("Content-Length", Long.toString(bodyBytes));
        }
        return ByteBuffer.wrap(
                head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The request with this body; null: it has none. */
    public ByteBuffer encode(byte[] body) {
        if (body != null) {
            header("Content-Length", Integer.toString(body.length));
        }
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer whole = ByteBuffer.allocate(start.length + (body == null ? 0 : body.length));
        whole.put(start);
        if (body != null) {
            whole.put(body);
        }
        return whole.flip();
    }
}
