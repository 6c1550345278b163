package trailthread.engine.routes;

import java.util.Comparator;
import java.util.Map;
import java.util.Set;

/**
 * A route: the requests that it matches, and the pool to which they are sent.
 *
 * @param name the name, unique in its table
 * @param methods the methods that match; empty: any
 * @param headers the value that each header must have, by the lower-case name; {@link #PRESENT}:
 *     any value
 * @param requestClass the class that the client must have named; null: any or none
 * @param pool the name of a pool
 * @param assignedClass the class of the route's requests, whatever class the client names; null:
 *     the class that the client names, else that of the method
 */
public record Route(
        String name,
        HostPattern host,
        PathPattern path,
        Set<String> methods,
        Map<String, String> headers,
        String requestClass,
        String pool,
        String assignedClass) {
    /** The value of a header that must be present, with any value. */
    public static final String PRESENT = "*";

    /**
     * More than any number of headers can add to the rank, so that methods decide before headers.
     */
    private static final int METHOD_RANK = 1 << 16;

    private static final int HEADER_RANK = 2;
    private static final int CLASS_RANK = 1;

    /**
     * Of the routes that match a request, the first in this order is selected: by host (exact, the
     * longest wildcard, any), path (see {@link PathPattern#compare}), methods, number of headers,
     * class.
     */
    static final Comparator<Route> MOST_SPECIFIC_FIRST =
            Comparator.comparing((Route r) -> r.host.kind())
                    .thenComparing(r -> -r.host.labelCount())
                    .thenComparing(Route::path, PathPattern::compare)
                    .thenComparing(Route::compareConditions);

    public Route {
        methods = Set.copyOf(methods);
        headers = Map.copyOf(headers);
    }

    /** Orders routes with the same host and path, the most specific first. */
    static int compareConditions(Route a, Route b) {
        return Integer.compare(b.rank(), a.rank());
    }

    private int rank() {
        return (methods.isEmpty() ? 0 : METHOD_RANK)
                + HEADER_RANK * headers.size()
                + (requestClass == null ? 0 : CLASS_RANK);
    }

    /** Returns whether the route matches the request. */
    boolean matches(RouteQuery query) {
        return host.matches(query.host()) && path.matches(query.path()) && matchesConditions(query);
    }

    /** Returns whether the route matches the request, given that its host and path match. */
    boolean matchesConditions(RouteQuery query) {
        return matchesMethod(query) && matchesClass(query) && mismatchedHeader(query) == null;
    }

    private boolean matchesMethod(RouteQuery query) {
        return methods.isEmpty() || methods.contains(query.method());
    }

    private boolean matchesClass(RouteQuery query) {
        return requestClass == null || requestClass.equals(query.requestClass());
    }

    /** Returns the first header that does not match, with the required value; null: all match. */
    private Map.Entry<String, String> mismatchedHeader(RouteQuery query) {
        for (Map.Entry<String, String> required : headers.entrySet()) {
            String value = query.header().apply(required.getKey());
            if (value == null
                    || (!required.getValue().equals(PRESENT)
                            && !required.getValue().equals(value))) {
                return required;
            }
        }
        return null;
    }

    /** Explains to operators why the route does not match the request; null: it does. */
    String explainMismatch(RouteQuery query) {
        if (!host.matches(query.host())) {
            return "host is not " + host;
        }
        if (!path.matches(query.path())) {
            return "path is not " + path;
        }
        if (!matchesMethod(query)) {
            return "method is none of " + String.join(", ", methods.stream().sorted().toList());
        }
        if (!matchesClass(query)) {
            return "class is not " + requestClass;
        }
        Map.Entry<String, String> header = mismatchedHeader(query);
        if (header == null) {
            return null;
        }
        return query.header().apply(header.getKey()) == null
                ? "header " + header.getKey() + " is missing or given more than once"
                : "header " + header.getKey() + " is not " + header.getValue();
    }
}
