package trailthread.engine.routes;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Two routes of a table of which neither is more specific, and that both take some request: which
 * of them had it would hang on the order in the file.
 *
 * @param example such a request, as {@code METHOD host/path} and its headers
 */
public record RouteConflict(Route first, Route second, String example) {
    /**
     * The conflict between two routes of one host and path, or null if no request suits both or one
     * goes first.
     */
    static RouteConflict between(Route a, Route b) {
        if (Route.compareConditions(a, b) != 0) {
            return null;
        }
        Set<String> methods = new TreeSet<>(a.methods().isEmpty() ? b.methods() : a.methods());
        if (!a.methods().isEmpty() && !b.methods().isEmpty()) {
            methods.retainAll(b.methods());
        }
        boolean noMethod = methods.isEmpty() && !(a.methods().isEmpty() && b.methods().isEmpty());
        boolean noClass =
                a.requestClass() != null
                        && b.requestClass() != null
                        && !a.requestClass().equals(b.requestClass());
        Map<String, String> headers = new LinkedHashMap<>(a.headers());
        for (Map.Entry<String, String> other : b.headers().entrySet()) {
            String own = headers.get(other.getKey());
            if (own == null || own.equals(Route.PRESENT)) {
                headers.put(other.getKey(), other.getValue());
            } else if (!other.getValue().equals(Route.PRESENT) && !other.getValue().equals(own)) {
                return null;
            }
        }
        if (noMethod || noClass) {
            return null;
        }
        String requestClass = a.requestClass() == null ? b.requestClass() : a.requestClass();
        String named =
                headers.entrySet().stream()
                        .sorted(Map.Entry.comparingByKey())
                        .map(
                                h ->
                                        ", "
                                                + h.getKey()
                                                + ": "
                                                + (h.getValue().equals(Route.PRESENT)
                                                        ? "x"
                                                        : h.getValue()))
                        .collect(Collectors.joining());
        return new RouteConflict(
                a,
                b,
                (methods.isEmpty() ? "GET" : methods.iterator().next())
                        + " "
                        + a.host().example()
                        + a.path().example()
                        + named
                        + (requestClass == null ? "" : ", class " + requestClass));
    }

    @Override
    public String toString() {
        return "routes "
                + first.name()
                + " and "
                + second.name()
                + " both take "
                + example
                + ", and neither is more specific";
    }
}
