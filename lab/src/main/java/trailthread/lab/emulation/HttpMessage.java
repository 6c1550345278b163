package trailthread.lab.emulation;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * An HTTP/1.1 request or response.
 *
 * @param startLine the request line or status line
 * @param headers values by header name in lower case; of repeated headers only the last
 * @param body the whole body, decoded if it was chunked
 */
record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {
    /** The method of a request. */
    String method() {
        return startLine.substring(0, Math.max(0, startLine.indexOf(' ')));
    }

    /** The target of a request. */
    String target() {
        String[] parts = startLine.split(" ");
        return parts.length == 3 ? parts[1] : "";
    }

    /** The status code; 0 if this is not a response. */
    int status() {
        return startLine.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")
                ? Integer.parseInt(startLine.substring(9, 12))
                : 0;
    }

    String header(String name) {
        return headers.get(name);
    }

    String bodyText() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Whether the connection stays open for another message. */
    boolean keepsConnectionOpen() {
        return !"close".equalsIgnoreCase(headers.get("connection"))
                && startLine.contains("HTTP/1.1");
    }
}
