package trailthread.engine.routes;

import java.util.Locale;

/**
 * The hosts that a route matches: one host, all subdomains of a name, or any host. A wildcard
 * stands for one or more labels, as in the Gateway API of Kubernetes (HTTPRoute, "hostnames").
 *
 * @param kind how many hosts the pattern matches
 * @param name the host, or the name after {@code *.}, in lower case; empty if any host matches
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
    public static final HostPattern ANY_HOST = new HostPattern(Kind.ANY, "");

    /**
     * Parses a pattern: {@code sim.example.org}, {@code *.example.org} or {@code *}.
     *
     * @throws IllegalArgumentException if the pattern is invalid; the message says what was
     *     expected
     */
    public static HostPattern parse(String text) {
        if (text.equals("*")) {
            return ANY_HOST;
        }
        boolean wildcard = text.startsWith("*.");
        String name = (wildcard ? text.substring(2) : text).toLowerCase(Locale.ROOT);
        if (!HostSyntax.isName(name) && (wildcard || !HostSyntax.isBracketedIpv6(name))) {
            throw new IllegalArgumentException(
                    "a host, *.domain or *, without port or trailing dot");
        }
        return new HostPattern(wildcard ? Kind.WILDCARD : Kind.EXACT, name);
    }

    /** Returns whether the pattern matches a host in the form of {@link Target#host()}. */
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
     * Returns the number of labels in the name: of two wildcards that match a host, the one with
     * more labels is more specific.
     */
    int labelCount() {
        return name.isEmpty() ? 0 : 1 + (int) name.chars().filter(c -> c == '.').count();
    }

    /** Returns a host that the pattern matches. */
    String exampleHost() {
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
