package trailthread.engine.routes;

import java.util.Locale;

/**
 * The hosts that a route matches: one, all subdomains of a name, or any. A wildcard stands for one
 * label or more, as in the Gateway API of Kubernetes (HTTPRoute, "hostnames").
 *
 * @param kind how many hosts it matches
 * @param name the host, or the name after {@code *.}, in lower case; empty for any
 */
public record HostPattern(Kind kind, String name) {
    /** How many hosts a pattern matches, the most specific kind first. */
    public enum Kind {
        /** One host. */
        EXACT,
        /** All subdomains of a name. */
        WILDCARD,
        /** All hosts. */
        ANY
    }

    /** Matches all hosts. */
    public static final HostPattern ANYTHING = new HostPattern(Kind.ANY, "");

    /**
     * Parses a pattern: {@code sim.example.org}, {@code *.example.org} or {@code *}.
     *
     * @throws IllegalArgumentException that says what was expected
     */
    public static HostPattern parse(String text) {
        if (text.equals("*")) {
            return ANYTHING;
        }
        boolean wildcard = text.startsWith("*.");
        String name = (wildcard ? text.substring(2) : text).toLowerCase(Locale.ROOT);
        if (!HostSyntax.isName(name) && (wildcard || !HostSyntax.isAddress(name))) {
            throw new IllegalArgumentException(
                    "a host, *.domain or *, without port or trailing dot");
        }
        return new HostPattern(wildcard ? Kind.WILDCARD : Kind.EXACT, name);
    }

    /** Whether it matches this host, in the form of {@link Target#host()}. */
    public boolean matches(String host) {
        return switch (kind) {
            case EXACT -> host.equals(name);
            case WILDCARD ->
                    host.length() > name.length() + 1
                            && host.endsWith(name)
                            && host.charAt(host.length() - name.length() - 1) == '.';
            case ANY -> true;
        };
    }

    /**
     * How many labels the name has: of two wildcards that match a host, the longer one is more
     * specific.
     */
    int labels() {
        return name.isEmpty() ? 0 : 1 + (int) name.chars().filter(c -> c == '.').count();
    }

    /** A host that it matches. */
    String example() {
        return switch (kind) {
            case EXACT -> name;
            case WILDCARD -> "a." + name;
            case ANY -> "any.example";
        };
    }

    @Override
    public String toString() {
        return switch (kind) {
            case EXACT -> name;
            case WILDCARD -> "*." + name;
            case ANY -> "*";
        };
    }
}
