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
 * Tells the headers of a message that are meant for its far end from those for the next one only:
 * RFC 9110, 7.6.1, with what Connection names; RFC 9112, 6 and 7, for the framing, which each
 * connection makes anew; pure.
 */
public final class EndToEndHeaders {
    private static final Set<String> NEXT_HOP_ONLY =
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

    private EndToEndHeaders() {}

    /**
     * Hands out names and values that go on, in the order of the message.
     *
     * @param except further names that do not, in small letters
     * @return whether every one can be passed on: none holds what could end it early or begin
     *     another
     */
    public static boolean pass(
            HeaderMap headers, Set<String> except, BiConsumer<HttpString, String> out) {
        Set<String> named = new HashSet<>();
        HeaderValues connection = headers.get("Connection");
        for (int i = 0; connection != null && i < connection.size(); i++) {
            for (String name : connection.get(i).split(",")) {
                named.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        for (HeaderValues header : headers) {
            String name = header.getHeaderName().toString();
            String small = name.toLowerCase(Locale.ROOT);
            if (NEXT_HOP_ONLY.contains(small) || named.contains(small) || except.contains(small)) {
                continue;
            }
            for (int i = 0; i < header.size(); i++) {
                if (!isName(name) || !isValue(header.get(i))) {
                    return false;
                }
                out.accept(header.getHeaderName(), header.get(i));
            }
        }
        return true;
    }

    /** A token of RFC 9110, 5.6.2. */
    private static boolean isName(String name) {
        for (byte letter : name.getBytes(StandardCharsets.ISO_8859_1)) {
            boolean plain =
                    (letter >= 'a' && letter <= 'z')
                            || (letter >= 'A' && letter <= 'Z')
                            || (letter >= '0' && letter <= '9')
                            || "!#$%&'*+-.^_`|~".indexOf(letter) >= 0;
            if (!plain) {
                return false;
            }
        }
        return !name.isEmpty();
    }

    /** RFC 9110, 5.5: no control letters but the tab; those past ASCII go as they came. */
    private static boolean isValue(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if ((c < ' ' && c != '\t') || c == 0x7f || c > 0xff) {
                return false;
            }
        }
        return true;
    }
}
