package trailthread.engine.routes;

import java.util.Locale;

/**
 * The hosts that a route takes: one, all below a name, or any. A wildcard stands for one label or
 * more, as in the Gateway API of Kubernetes (HTTPRoute, "hostnames").
 *
 * @param kind how much it takes
 * @param name the host, or the name after {@code *.}; empty for any. In small letters
 */
public record HostPattern(Kind kind, String name) {
    /** From the most specific on. */
    public enum Kind {
        EXACT,
        WILDCARD,
        ANY
    }

    public static final HostPattern ANYTHING = new HostPattern(Kind.ANY, "");

    /**
     * Reads a pattern: {@code sim.example.org}, {@code *.example.org} or {@code *}.
     *
     * @throws IllegalArgumentException saying what was expected
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

    /** Whether it takes this host, as {@link Target#host()} has it. */
    public boolean takes(String host) {
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
     * How many labels a name has: of two wildcards that take a host, the longer one is more
     * specific.
     */
    int labels() {
        return name.isEmpty() ? 0 : 1 + (int) name.chars().filter(c -> c == '.').count();
    }

    /** Some host that it takes. */
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
