package trailthread.engine.routes;

import java.util.Comparator;
import java.util.Map;
import java.util.Set;

/**
 * One route: the requests that it takes, and the pool that they go to.
 *
 * @param name unique in its table
 * @param methods those that it takes; empty: any
 * @param headers names in small letters, and the value that each must have; {@link #PRESENT}: any
 *     value
 * @param requestClass the class that the client must have named; null: any or none
 * @param pool the name of a pool
 * @param assigns the class of its calls, whatever the client names; null: the client's or the
 *     method's
 */
public record Route(
        String name,
        HostPattern host,
        PathPattern path,
        Set<String> methods,
        Map<String, String> headers,
        String requestClass,
        String pool,
        String assigns) {
    /** For a header that must be given, with whatever value. */
    public static final String PRESENT = "*";

    /**
     * The written order: of those that take a request, the first in this order has it. Host (exact,
     * the longest wildcard, any), path (see {@link PathPattern#compare}), a method named, more
     * headers, a class named.
     */
    static final Comparator<Route> MOST_SPECIFIC_FIRST =
            Comparator.comparing((Route r) -> r.host.kind())
                    .thenComparing(r -> -r.host.labels())
                    .thenComparing(Route::path, PathPattern::compare)
                    .thenComparing(Route::compareConditions);

    /** The order among routes of one host and path. */
    static int compareConditions(Route a, Route b) {
        return Integer.compare(b.rank(), a.rank());
    }

    public Route {
        methods = Set.copyOf(methods);
        headers = Map.copyOf(headers);
    }

    private int rank() {
        return (methods.isEmpty() ? 0 : 1 << 16)
                + 2 * headers.size()
                + (requestClass == null ? 0 : 1);
    }

    /** Whether it takes the request. */
    boolean takes(RouteQuery asked) {
        return refusal(asked) == null;
    }

    /** Whether it takes the request, if host and path suit. */
    boolean takesConditions(RouteQuery asked) {
        if ((!methods.isEmpty() && !methods.contains(asked.method()))
                || (requestClass != null && !requestClass.equals(asked.requestClass()))) {
            return false;
        }
        for (Map.Entry<String, String> wanted : headers.entrySet()) {
            String value = asked.header().apply(wanted.getKey());
            if (value == null
                    || (!wanted.getValue().equals(PRESENT) && !wanted.getValue().equals(value))) {
                return false;
            }
        }
        return true;
    }

    /** Why it does not take the request, for people; null: it does. */
    public String refusal(RouteQuery asked) {
        if (!host.takes(asked.host())) {
            return "host is not " + host;
        }
        if (!path.takes(asked.path())) {
            return "path is not " + path;
        }
        if (!methods.isEmpty() && !methods.contains(asked.method())) {
            return "method is none of " + String.join(", ", methods.stream().sorted().toList());
        }
        if (requestClass != null && !requestClass.equals(asked.requestClass())) {
            return "class is not " + requestClass;
        }
        for (Map.Entry<String, String> wanted : headers.entrySet()) {
            String value = asked.header().apply(wanted.getKey());
            if (value == null) {
                return "header " + wanted.getKey() + " is not given once";
            }
            if (!wanted.getValue().equals(PRESENT) && !wanted.getValue().equals(value)) {
                return "header " + wanted.getKey() + " is not " + wanted.getValue();
            }
        }
        return null;
    }
}
