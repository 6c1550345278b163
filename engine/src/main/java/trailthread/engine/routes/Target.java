package trailthread.engine.routes;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A request's target: the host, and the path and query as they are forwarded to the endpoint,
 * unchanged. Routing must read the target exactly as the endpoint will. So everything that two
 * parsers could read differently is rejected: dot segments (also percent-encoded), empty segments
 * except the last, {@code ;} parameters, percent-encoded {@code /} and {@code \}, control
 * characters. After RFC 9112 (3.2), RFC 9110 (4.2, 7.2) and RFC 3986 (3.3, 6.2.2); docs/routes.md
 * has the table.
 *
 * @param host in lower case, without port and trailing dot; empty if the request has none
 *     (HTTP/1.0)
 * @param origin path and query as they were received, beginning with {@code /}
 * @param segments the segments of the path, normalized for comparison: unreserved characters are
 *     decoded, and the hex digits of other encoded characters are in upper case
 */
public record Target(String host, String origin, List<String> segments) {
    private static final List<String> SCHEMES = List.of("http://", "https://");
    private static final int MAX_PORT_DIGITS = 5;
    private static final char DELETE = 0x7f;

    /** Unreserved characters besides letters and digits (RFC 3986, 2.3). */
    private static final String UNRESERVED_MARKS = "-._~";

    /** Characters of a path besides letters, digits and {@code %} (RFC 3986, pchar without ";"). */
    private static final String PATH_MARKS = UNRESERVED_MARKS + "!$&'()*+,=:@";

    /**
     * Characters of a query besides letters and digits: those of RFC 3986, and others that clients
     * send.
     */
    private static final String QUERY_MARKS = PATH_MARKS + ";/?%[]|^`{}\"<>\\";

    /**
     * Parses a request line's target and the Host header.
     *
     * @param hosts the values of all Host headers
     * @param needsHost whether a Host header is required, as in HTTP/1.1
     * @throws BadTargetException if the target is invalid or ambiguous; the response to the request
     *     is to be 400
     */
    public static Target parse(String method, String target, List<String> hosts, boolean needsHost)
            throws BadTargetException {
        if (hosts.size() > 1) {
            throw new BadTargetException("more than one Host header");
        }
        if (hosts.isEmpty() && needsHost) {
            throw new BadTargetException("no Host header");
        }
        String host = hosts.isEmpty() ? "" : parseHost(hosts.get(0));
        if (method.equals("CONNECT")) {
            throw new BadTargetException("CONNECT is not supported");
        }
        return target.startsWith("/")
                ? parseOrigin(host, target)
                : parseAbsolute(target, hosts.isEmpty() ? null : host);
    }

    /**
     * Parses a target in absolute form. It must name the same host as the Host header (RFC 9112,
     * 3.2): prevents a request from being routed by one host and served for the other.
     *
     * @param hostHeader the host of the Host header; null: there is none
     */
    private static Target parseAbsolute(String target, String hostHeader)
            throws BadTargetException {
        int authority = schemeEnd(target);
        int path = authorityEnd(target, authority);
        String host = parseHost(target.substring(authority, path));
        if (host.isEmpty()) {
            throw new BadTargetException("an absolute target without a host");
        }
        if (hostHeader != null && !host.equals(hostHeader)) {
            throw new BadTargetException("a target and a Host header that differ");
        }
        String origin = target.substring(path);
        return parseOrigin(host, origin.startsWith("/") ? origin : "/" + origin);
    }

    private static Target parseOrigin(String host, String origin) throws BadTargetException {
        int query = origin.indexOf('?');
        if (query >= 0) {
            checkQuery(origin, query + 1);
        }
        String path = query < 0 ? origin : origin.substring(0, query);
        return new Target(host, origin, segments(path));
    }

    private static int schemeEnd(String target) throws BadTargetException {
        for (String scheme : SCHEMES) {
            if (target.regionMatches(true, 0, scheme, 0, scheme.length())) {
                return scheme.length();
            }
        }
        throw new BadTargetException("a target in neither origin nor absolute form");
    }

    private static int authorityEnd(String target, int from) {
        int i = from;
        while (i < target.length() && target.charAt(i) != '/' && target.charAt(i) != '?') {
            i++;
        }
        return i;
    }

    /**
     * Parses host and port as in a Host header, and returns the host in the form of host patterns.
     */
    private static String parseHost(String authority) throws BadTargetException {
        if (authority.isEmpty()) {
            return ""; // RFC 9112, 3.2: empty if the target has no authority
        }
        int bracket = authority.lastIndexOf(']');
        int colon = authority.indexOf(':', Math.max(0, bracket));
        String host = colon < 0 ? authority : authority.substring(0, colon);
        String port = colon < 0 ? "" : authority.substring(colon + 1);
        if (port.length() > MAX_PORT_DIGITS || !port.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new BadTargetException("an invalid port");
        }
        host = host.toLowerCase(Locale.ROOT);
        if (host.endsWith(".")) {
            host = host.substring(0, host.length() - 1);
        }
        if (!HostSyntax.isName(host) && !HostSyntax.isBracketedIpv6(host)) {
            throw new BadTargetException("an invalid host");
        }
        return host;
    }

    private static void checkQuery(String origin, int from) throws BadTargetException {
        for (int i = from; i < origin.length(); i++) {
            if (!isPlain(origin.charAt(i), QUERY_MARKS)) {
                throw new BadTargetException(
                        "a character in the query that must be percent-encoded");
            }
        }
    }

    /** Returns the segments of a path, normalized for comparison. */
    static List<String> segments(String path) throws BadTargetException {
        if (!path.startsWith("/")) {
            throw new BadTargetException("a path that does not begin with /");
        }
        List<String> segments = new ArrayList<>();
        int from = 1;
        int to;
        do {
            to = path.indexOf('/', from);
            String segment = normalize(path, from, to < 0 ? path.length() : to);
            if (segment.isEmpty() && to >= 0) {
                throw new BadTargetException("an empty segment, which some parsers remove");
            }
            if (segment.equals(".") || segment.equals("..")) {
                throw new BadTargetException("a dot segment, which some parsers resolve");
            }
            segments.add(segment);
            from = to + 1;
        } while (to >= 0);
        return segments;
    }

    /**
     * Returns the normalized segment between two indices; rebuilds it only if it has
     * percent-encoded characters.
     */
    private static String normalize(String path, int from, int to) throws BadTargetException {
        StringBuilder normalized = null;
        for (int i = from; i < to; i++) {
            char c = path.charAt(i);
            if (c == '%') {
                normalized =
                        normalized == null
                                ? new StringBuilder(path.substring(from, i))
                                : normalized;
                i = normalizeEncoded(path, i, to, normalized);
            } else if (!isPlain(c, PATH_MARKS)) {
                throw new BadTargetException(
                        c == ';'
                                ? "a path parameter, which some parsers remove"
                                : "a character in the path that must be percent-encoded");
            } else if (normalized != null) {
                normalized.append(c);
            }
        }
        return normalized == null ? path.substring(from, to) : normalized.toString();
    }

    /**
     * Normalizes a percent-encoded character (RFC 3986, 6.2.2): an unreserved one is decoded, and
     * the hex digits of any other are put in upper case.
     *
     * @return the index of the last hex digit
     */
    private static int normalizeEncoded(String path, int at, int to, StringBuilder normalized)
            throws BadTargetException {
        int high = at + 2 < to ? Character.digit(path.charAt(at + 1), 16) : -1;
        int low = at + 2 < to ? Character.digit(path.charAt(at + 2), 16) : -1;
        if (high < 0 || low < 0 || path.charAt(at + 1) > 'f' || path.charAt(at + 2) > 'f') {
            throw new BadTargetException("a % without two hex digits");
        }
        char c = (char) (16 * high + low);
        if (c == '/' || c == '\\') {
            throw new BadTargetException("an encoded slash, at which some parsers split the path");
        }
        if (c < ' ' || c == DELETE) {
            throw new BadTargetException("an encoded control character");
        }
        if (isPlain(c, UNRESERVED_MARKS)) {
            normalized.append(c);
        } else {
            normalized
                    .append(path, at, at + 1)
                    .append(Character.toUpperCase(path.charAt(at + 1)))
                    .append(Character.toUpperCase(path.charAt(at + 2)));
        }
        return at + 2;
    }

    /** Returns whether the character is an ASCII letter or digit, or one of the marks. */
    private static boolean isPlain(char c, String marks) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || marks.indexOf(c) >= 0;
    }
}
