package trailthread.lab.emulation;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One HTTP/1.1 message, a request or an answer.
 *
 * @param start its first line
 * @param headers by their names in small letters; of several of one name the last
 * @param body whole
 */
record HttpMessage(String start, Map<String, String> headers, byte[] body) {
    /** The method of a request. */
    String method() {
        return start.substring(0, Math.max(0, start.indexOf(' ')));
    }

    /** The target of a request. */
    String target() {
        String[] words = start.split(" ");
        return words.length == 3 ? words[1] : "";
    }

    /** The status of an answer; 0: it is none. */
    int status() {
        return start.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")
                ? Integer.parseInt(start.substring(9, 12))
                : 0;
    }

    String header(String name) {
        return headers.get(name);
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Whether the connection may carry another one after it. */
    boolean lasts() {
        return !"close".equalsIgnoreCase(headers.get("connection")) && start.contains("HTTP/1.1");
    }
}
