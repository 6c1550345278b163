package trailthread.engine.routes;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The paths that a route takes: {@code /a/b} itself, {@code /a/{id}} with any one segment in its
 * place, or {@code /a/**} with all that is under it. Whole segments only: {@code /a/**} takes
 * {@code /a}, {@code /a/} and {@code /a/b}, and not {@code /ab}.
 *
 * @param segments the literal segments as {@link Target#segments()} has them; null for any one
 * @param prefix whether further segments may follow
 */
public record PathPattern(List<String> segments, boolean prefix) {
    private static final String REST = "**";

    /**
     * Reads a pattern.
     *
     * @throws IllegalArgumentException saying what was expected
     */
    public static PathPattern parse(String text) {
        List<String> segments = new ArrayList<>();
        boolean prefix = text.endsWith("/" + REST);
        String fixed = prefix ? text.substring(0, text.length() - REST.length() - 1) : text;
        try {
            if (!prefix || !fixed.isEmpty()) {
                // What stands in braces is no part of a target: read as a letter, and taken for any
                // segment.
                List<String> read =
                        Target.segments(fixed.replaceAll("\\{[A-Za-z][A-Za-z0-9_]*}", "x"));
                String[] written = fixed.substring(1).split("/", -1);
                for (int i = 0; i < written.length; i++) {
                    boolean any = written[i].startsWith("{") && written[i].endsWith("}");
                    if ((!any && written[i].indexOf('{') >= 0) || written[i].indexOf('*') >= 0) {
                        throw new IllegalArgumentException(
                                "{name} or ** for whole segments, ** at the end");
                    }
                    segments.add(any ? null : read.get(i));
                }
            }
        } catch (BadTargetException e) {
            throw new IllegalArgumentException("a path as a request has it: " + e.getMessage(), e);
        }
        return new PathPattern(Collections.unmodifiableList(segments), prefix);
    }

    /** Whether it takes a path of these segments. */
    public boolean takes(List<String> path) {
        if (path.size() < segments.size() || (!prefix && path.size() > segments.size())) {
            return false;
        }
        for (int i = 0; i < segments.size(); i++) {
            String wanted = segments.get(i);
            if (wanted == null ? path.get(i).isEmpty() : !wanted.equals(path.get(i))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Which of two that take the same path is more specific: at the first segment in which they
     * differ, a literal goes before any segment, that before the end, and an end before all that
     * may follow.
     */
    static int compare(PathPattern a, PathPattern b) {
        for (int i = 0; ; i++) {
            int first = a.rankAt(i);
            int second = b.rankAt(i);
            if (first != second) {
                return Integer.compare(first, second);
            }
            if (i >= a.segments.size()) {
                return 0;
            }
        }
    }

    private int rankAt(int i) {
        if (i >= segments.size()) {
            return prefix ? 3 : 2;
        }
        return segments.get(i) == null ? 1 : 0;
    }

    /** Some path that it takes. */
    String example() {
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
