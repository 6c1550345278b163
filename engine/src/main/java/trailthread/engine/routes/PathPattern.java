package trailthread.engine.routes;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The paths that a route matches: {@code /a/b} matches itself, {@code /a/{id}} any non-empty
 * segment in place of the parameter, {@code /a/**} all paths below {@code /a}. Segments match as a
 * unit: {@code /a/**} matches {@code /a}, {@code /a/} and {@code /a/b}, and not {@code /ab}.
 *
 * @param segments the literal segments in the form of {@link Target#segments()}; null: any segment
 * @param prefix whether further segments may follow
 */
public record PathPattern(List<String> segments, boolean prefix) {
    private static final String REST = "**";
    private static final String PARAMETER_REGEX = "\\{[A-Za-z][A-Za-z0-9_]*}";

    /** What a pattern has at one segment position, the most specific first. */
    private enum Rank {
        LITERAL,
        PARAMETER,
        END,
        REST
    }

    /**
     * Parses a pattern.
     *
     * @throws IllegalArgumentException if the pattern is invalid; the message says what was
     *     expected
     */
    public static PathPattern parse(String text) {
        boolean prefix = text.endsWith("/" + REST);
        String fixed = prefix ? text.substring(0, text.length() - REST.length() - 1) : text;
        if (prefix && fixed.isEmpty()) {
            return new PathPattern(List.of(), true);
        }
        try {
            return new PathPattern(Collections.unmodifiableList(parseSegments(fixed)), prefix);
        } catch (BadTargetException e) {
            throw new IllegalArgumentException(
                    "a path that is valid in a request (this has " + e.getMessage() + ")", e);
        }
    }

    private static List<String> parseSegments(String path) throws BadTargetException {
        // Braces are not allowed in a target, so each parameter is replaced by a literal.
        List<String> parsed = Target.segments(path.replaceAll(PARAMETER_REGEX, "x"));
        String[] written = path.substring(1).split("/", -1);
        List<String> segments = new ArrayList<>();
        for (int i = 0; i < written.length; i++) {
            boolean isParameter = written[i].startsWith("{") && written[i].endsWith("}");
            if ((!isParameter && written[i].indexOf('{') >= 0) || written[i].indexOf('*') >= 0) {
                throw new IllegalArgumentException(
                        "{name} or ** for whole segments, ** at the end");
            }
            segments.add(isParameter ? null : parsed.get(i));
        }
        return segments;
    }

    /** Returns whether the pattern matches a path of these segments. */
    public boolean matches(List<String> path) {
        if (path.size() < segments.size() || (!prefix && path.size() > segments.size())) {
            return false;
        }
        for (int i = 0; i < segments.size(); i++) {
            if (!matches(segments.get(i), path.get(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean matches(String required, String segment) {
        return required == null ? !segment.isEmpty() : required.equals(segment);
    }

    /**
     * Orders patterns that match the same path, the most specific first. The first position at
     * which they differ decides: a literal comes before a parameter, a parameter before the end of
     * the pattern, and the end before {@code **}.
     */
    static int compare(PathPattern a, PathPattern b) {
        for (int i = 0; ; i++) {
            int order = a.rankAt(i).compareTo(b.rankAt(i));
            if (order != 0) {
                return order;
            }
            if (i >= a.segments.size()) {
                return 0;
            }
        }
    }

    private Rank rankAt(int i) {
        if (i >= segments.size()) {
            return prefix ? Rank.REST : Rank.END;
        }
        return segments.get(i) == null ? Rank.PARAMETER : Rank.LITERAL;
    }

    /** Returns a path that the pattern matches. */
    String examplePath() {
        StringBuilder path = new StringBuilder();
        for (String segment : segments) {
            path.append('/').append(segment == null ? "x" : segment);
        }
        return path.isEmpty() ? "/" : path.toString();
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (String segment : segments) {
            text.append('/').append(segment == null ? "{}" : segment);
        }
        return text + (prefix ? "/" + REST : "");
    }
}
