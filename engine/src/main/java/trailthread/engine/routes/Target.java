package trailthread.engine.routes;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a request asks for: the host, and the path and query as they go to the endpoint, letter for
 * letter. Routed on is exactly what the endpoint will read, so whatever two readers could see
 * differently is refused: dot segments (also encoded), empty segments but for the last, {@code ;}
 * parameters, encoded {@code /} and {@code \}, control letters. Of RFC 9112 (3.2), RFC 9110 (4.2,
 * 7.2) and RFC 3986 (3.3, 6.2.2); docs/routes.md has the table.
 *
 * @param host in small letters, without port and trailing dot; empty where the request named none
 *     (HTTP/1.0)
 * @param origin path and query as they came, beginning with {@code /}
 * @param segments of the path, for comparing: what is encoded without need is decoded, all other
 *     hex digits large
 */
public record Target(String host, String origin, List<String> segments) {
    /**
     * Letters of a path that stand for themselves besides letters and digits (RFC 3986, pchar,
     * without ";").
     */
    private static final String PATH_MARKS = "-._~!$&'()*+,=:@";

    private static final String QUERY_MARKS = PATH_MARKS + ";/?%[]|^`{}\"<>\\";

    /**
     * Reads a request line's target and the Host header.
     *
     * @param hosts the values of all Host headers
     * @param needsHost whether one must be given, as in HTTP/1.1
     * @throws BadTargetException if it can't be routed for certain; such a request is answered 400
     */
    public static Target parse(String method, String target, List<String> hosts, boolean needsHost)
            throws BadTargetException {
        if (hosts.size() > 1) {
            throw new BadTargetException("more than one Host");
        }
        if (hosts.isEmpty() && needsHost) {
            throw new BadTargetException("no Host");
        }
        String host = hosts.isEmpty() ? "" : host(hosts.get(0));
        if (method.equals("CONNECT")) {
            throw new BadTargetException("no tunnels here");
        }
        String origin = target;
        if (!target.startsWith("/")) {
            int authority = schemeEnd(target);
            int path = endOfAuthority(target, authority);
            String named = host(target.substring(authority, path));
            if (named.isEmpty()) {
                throw new BadTargetException("an absolute target without a host");
            }
            // RFC 9112, 3.2: a client MUST name the same; the endpoint is sent the one and is
            // routed
            // to by the other.
            if (!hosts.isEmpty() && !named.equals(host)) {
                throw new BadTargetException("a target and a Host that differ");
            }
            host = named;
            origin =
                    target.startsWith("/", path)
                            ? target.substring(path)
                            : "/" + target.substring(path);
        }
        int query = origin.indexOf('?');
        String path = query < 0 ? origin : origin.substring(0, query);
        if (query >= 0) {
            checkQuery(origin, query + 1);
        }
        return new Target(host, origin, segments(path));
    }

    private static int schemeEnd(String target) throws BadTargetException {
        if (target.regionMatches(true, 0, "http://", 0, 7)) {
            return 7;
        }
        if (target.regionMatches(true, 0, "https://", 0, 8)) {
            return 8;
        }
        throw new BadTargetException("a target in neither origin nor absolute form");
    }

    private static int endOfAuthority(String target, int from) {
        int i = from;
        while (i < target.length() && target.charAt(i) != '/' && target.charAt(i) != '?') {
            i++;
        }
        return i;
    }

    /** Host and port as in a Host header: the host alone, in the form that patterns have. */
    private static String host(String written) throws BadTargetException {
        if (written.isEmpty()) {
            return ""; // RFC 9112, 3.2: empty where the target has no authority
        }
        int bracket = written.lastIndexOf(']');
        int colon = written.indexOf(':', Math.max(0, bracket));
        String host = colon < 0 ? written : written.substring(0, colon);
        String port = colon < 0 ? "" : written.substring(colon + 1);
        if (port.length() > 5 || !port.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new BadTargetException("a port that is none");
        }
        host = host.toLowerCase(Locale.ROOT);
        if (host.endsWith(".")) {
            host = host.substring(0, host.length() - 1);
        }
        if (!HostSyntax.isName(host) && !HostSyntax.isAddress(host)) {
            throw new BadTargetException("a host that is none");
        }
        return host;
    }

    private static void checkQuery(String origin, int from) throws BadTargetException {
        for (int i = from; i < origin.length(); i++) {
            if (!isPlain(origin.charAt(i), QUERY_MARKS)) {
                throw new BadTargetException("a letter in the query that must be encoded");
            }
        }
    }

    /** The segments of a path, in the form for comparing. */
    static List<String> segments(String path) throws BadTargetException {
        if (!path.startsWith("/")) {
            throw new BadTargetException("a path that does not begin with /");
        }
        List<String> segments = new ArrayList<>();
        for (int from = 1, to = path.indexOf('/', 1); from > 0; to = path.indexOf('/', from)) {
            String segment = segment(path, from, to < 0 ? path.length() : to);
            if (segment.isEmpty() && to >= 0) {
                throw new BadTargetException("an empty segment: some readers drop it");
            }
            if (segment.equals(".") || segment.equals("..")) {
                throw new BadTargetException("a dot segment: some readers take it out");
            }
            segments.add(segment);
            from = to + 1;
        }
        return segments;
    }

    private static String segment(String path, int from, int to) throws BadTargetException {
        StringBuilder read = null;
        for (int i = from; i < to; i++) {
            char c = path.charAt(i);
            if (c == '%') {
                read = read == null ? new StringBuilder(path.substring(from, i)) : read;
                i = decode(path, i, to, read);
            } else if (!isPlain(c, PATH_MARKS)) {
                throw new BadTargetException(
                        c == ';'
                                ? "a path parameter: some readers take it out"
                                : "a letter in the path that must be encoded");
            } else if (read != null) {
                read.append(c);
            }
        }
        return read == null ? path.substring(from, to) : read.toString();
    }

    /**
     * RFC 3986, 6.2.2: what stands for itself is decoded, of all else the hex digits are made
     * large.
     */
    private static int decode(String path, int at, int to, StringBuilder read)
            throws BadTargetException {
        int high = at + 2 < to ? Character.digit(path.charAt(at + 1), 16) : -1;
        int low = at + 2 < to ? Character.digit(path.charAt(at + 2), 16) : -1;
        if (high < 0 || low < 0 || path.charAt(at + 1) > 'f' || path.charAt(at + 2) > 'f') {
            throw new BadTargetException("a % without two hex digits");
        }
        char c = (char) (16 * high + low);
        if (c == '/' || c == '\\') {
            throw new BadTargetException("an encoded slash: some readers split there");
        }
        if (c < ' ' || c == 0x7f) {
            throw new BadTargetException("an encoded control letter");
        }
        if (isPlain(c, "-._~")) {
            read.append(c);
        } else {
            read.append(path, at, at + 1)
                    .append(Character.toUpperCase(path.charAt(at + 1)))
                    .append(Character.toUpperCase(path.charAt(at + 2)));
        }
        return at + 2;
    }

    private static boolean isPlain(char c, String marks) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || marks.indexOf(c) >= 0;
    }
}
