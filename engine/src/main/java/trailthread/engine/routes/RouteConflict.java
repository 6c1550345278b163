package trailthread.engine.routes;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Two routes that match the same request, and of which neither is more specific: which one is
 * selected would depend on their order in the file.
 *
 * @param example a request that both match, as {@code METHOD host/path}, headers and class
 */
public record RouteConflict(Route first, Route second, String example) {
    private static final String ANY_METHOD_EXAMPLE = "GET";
    private static final String ANY_VALUE_EXAMPLE = "x";

    /**
     * Returns the conflict between two routes with the same host and path; empty if no request
     * matches both, or one of them is more specific.
     */
    static Optional<RouteConflict> between(Route a, Route b) {
        if (Route.compareConditions(a, b) != 0 || classesDiffer(a, b)) {
            return Optional.empty();
        }
        Optional<String> method = commonMethod(a, b);
        Optional<Map<String, String>> headers = commonHeaders(a, b);
        if (method.isEmpty() || headers.isEmpty()) {
            return Optional.empty();
        }
        String requestClass = a.requestClass() == null ? b.requestClass() : a.requestClass();
        String example =
                method.get()
                        + " "
                        + a.host().exampleHost()
                        + a.path().examplePath()
                        + formatHeaders(headers.get())
                        + (requestClass == null ? "" : ", class " + requestClass);
        return Optional.of(new RouteConflict(a, b, example));
    }

    private static boolean classesDiffer(Route a, Route b) {
        return a.requestClass() != null
                && b.requestClass() != null
                && !a.requestClass().equals(b.requestClass());
    }

    /** Returns the first method by name that both match, if there is one. */
    private static Optional<String> commonMethod(Route a, Route b) {
        if (a.methods().isEmpty() && b.methods().isEmpty()) {
            return Optional.of(ANY_METHOD_EXAMPLE);
        }
        Set<String> methods = new TreeSet<>(a.methods().isEmpty() ? b.methods() : a.methods());
        if (!a.methods().isEmpty() && !b.methods().isEmpty()) {
            methods.retainAll(b.methods());
        }
        return methods.stream().findFirst();
    }

    /** Returns headers that both match, unless they require different values of a header. */
    private static Optional<Map<String, String>> commonHeaders(Route a, Route b) {
        Map<String, String> headers = new LinkedHashMap<>(a.headers());
        for (Map.Entry<String, String> other : b.headers().entrySet()) {
            String own = headers.get(other.getKey());
            if (own == null || own.equals(Route.PRESENT)) {
                headers.put(other.getKey(), other.getValue());
            } else if (!other.getValue().equals(Route.PRESENT) && !other.getValue().equals(own)) {
                return Optional.empty();
            }
        }
        return Optional.of(headers);
    }

    private static String formatHeaders(Map<String, String> headers) {
        return headers.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(header -> ", " + header.getKey() + ": " + exampleValue(header.getValue()))
                .collect(Collectors.joining());
    }

    private static String exampleValue(String required) {
        return required.equals(Route.PRESENT) ? ANY_VALUE_EXAMPLE : required;
    }

    @Override
    public String toString() {
        return "routes "
                + first.name()
                + " and "
                + second.name()
                + " both match "
                + example
                + ", and neither is more specific";
    }
}
