package trailthread.engine.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;

/** Parses the single lines of an HTTP/1.1 response. */
final class ResponseSyntax {
    /** The prefix of every status line. */
    static final String VERSION_PREFIX = "HTTP/1.";

    private static final String HTTP_1_1 = "HTTP/1.1";
    private static final int STATUS_START = "HTTP/1.1 ".length();
    private static final int STATUS_END = "HTTP/1.1 200".length();
    private static final int MIN_STATUS = 100;
    private static final int DECIMAL = 10;
    private static final int HEXADECIMAL = 16;
    private static final int MAX_DIGITS = 15;
    private static final char FIRST_NON_ASCII = 0x80;
    private static final char DELETE = 0x7f;

    private ResponseSyntax() {}

    /** Returns whether a status line's version keeps the connection open by default. */
    static boolean keepsAliveByDefault(String statusLine) {
        return statusLine.startsWith(HTTP_1_1);
    }

    static int parseStatus(String statusLine) throws MalformedResponseException {
        boolean isWellFormed =
                statusLine.length() >= STATUS_END
                        && statusLine.startsWith(VERSION_PREFIX)
                        && statusLine.charAt(STATUS_START - 1) == ' '
                        && (statusLine.length() == STATUS_END
                                || statusLine.charAt(STATUS_END) == ' ');
        long status =
                isWellFormed
                        ? parseNumber(statusLine.substring(STATUS_START, STATUS_END), DECIMAL)
                        : -1;
        if (status < MIN_STATUS) {
            throw new MalformedResponseException("an invalid status line");
        }
        return (int) status;
    }

    static void parseHeader(String line, HeaderMap into) throws MalformedResponseException {
        int colon = line.indexOf(':');
        if (colon <= 0 || !isName(line, colon)) {
            throw new MalformedResponseException("a header without a valid name");
        }
        into.add(
                new HttpString(line.substring(0, colon).getBytes(StandardCharsets.ISO_8859_1)),
                line.substring(colon + 1).strip());
    }

    private static boolean isName(String line, int end) {
        for (int i = 0; i < end; i++) {
            char c = line.charAt(i);
            if (c <= ' ' || c >= DELETE) {
                return false;
            }
        }
        return true;
    }

    /** Returns the value of a Content-Length header, or -1 if it is malformed. */
    static long parseContentLength(String value) {
        return parseNumber(value, DECIMAL);
    }

    static long parseChunkSize(String line) throws MalformedResponseException {
        int extension = line.indexOf(';');
        String digits = extension < 0 ? line : line.substring(0, extension);
        long size = parseNumber(digits.strip(), HEXADECIMAL);
        if (size < 0) {
            throw new MalformedResponseException("a chunk without a valid size");
        }
        return size;
    }

    /** Parses a number of ASCII digits only; returns -1 if it is malformed. */
    private static long parseNumber(String digits, int radix) {
        if (digits.isEmpty() || digits.length() > MAX_DIGITS) {
            return -1;
        }
        for (int i = 0; i < digits.length(); i++) {
            char c = digits.charAt(i);
            if (c >= FIRST_NON_ASCII || Character.digit(c, radix) < 0) {
                return -1;
            }
        }
        return Long.parseLong(digits, radix);
    }
}
