package trailthread.engine.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Selects the headers of a message that a proxy forwards. Left out are hop-by-hop headers and those
 * that the Connection header names (RFC 9110, 7.6.1), and the framing, which is set anew on each
 * connection (RFC 9112, 6 and 7).
 */
public final class EndToEndHeaders {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "http2-settings",
                    "content-length",
                    "host");

    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final char DELETE = 0x7f;
    private static final char MAX_BYTE = 0xff;

    private EndToEndHeaders() {}

    /**
     * Passes the name and value of each header to forward to {@code out}, in the order of the
     * message.
     *
     * @param except further names to leave out, in lower case
     * @return whether every header can be forwarded; false if one holds characters that could end
     *     the header early or start another one
     */
    public static boolean forward(
            HeaderMap headers, Set<String> except, BiConsumer<HttpString, String> out) {
        Set<String> connectionOptions = connectionOptions(headers);
        for (HeaderValues header : headers) {
            String name = header.getHeaderName().toString();
            String lowerCase = name.toLowerCase(Locale.ROOT);
            if (HOP_BY_HOP.contains(lowerCase)
                    || connectionOptions.contains(lowerCase)
                    || except.contains(lowerCase)) {
                continue;
            }
            for (int i = 0; i < header.size(); i++) {
                if (!isToken(name) || !isFieldValue(header.get(i))) {
                    return false;
                }
                out.accept(header.getHeaderName(), header.get(i));
            }
        }
        return true;
    }

    private static Set<String> connectionOptions(HeaderMap headers) {
        Set<String> options = new HashSet<>();
        HeaderValues connection = headers.get("Connection");
        for (int i = 0; connection != null && i < connection.size(); i++) {
            for (String name : connection.get(i).split(",")) {
                options.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        return options;
    }

    /** Returns whether a name is a token (RFC 9110, 5.6.2). */
    private static boolean isToken(String name) {
        for (byte c : name.getBytes(StandardCharsets.ISO_8859_1)) {
            boolean isTokenChar =
                    (c >= 'a' && c <= 'z')
                            || (c >= 'A' && c <= 'Z')
                            || (c >= '0' && c <= '9')
                            || TOKEN_PUNCTUATION.indexOf(c) >= 0;
            if (!isTokenChar) {
                return false;
            }
        }
        return !name.isEmpty();
    }

    /**
     * Returns whether a value holds no control character but the tab (RFC 9110, 5.5); bytes above
     * ASCII are forwarded as is.
     */
    private static boolean isFieldValue(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if ((c < ' ' && c != '\t') || c == DELETE || c > MAX_BYTE) {
                return false;
            }
        }
        return true;
    }
}
