package trailthread.engine.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the most specific route that matches a request. Looks up hosts by name and paths in a trie
 * of segments, so that the time grows with the depth of the path and not with the number of routes.
 * Immutable.
 */
public final class RouteTable {
    /** A node in the trie of paths of one host pattern. */
    private static final class Node {
        private Map<String, Node> literals = Map.of();
        private Node parameter;

        /** Routes whose path ends here, the most specific first. */
        private final List<Route> exactRoutes = new ArrayList<>(1);

        /** Routes that match all paths from here on, the most specific first. */
        private final List<Route> prefixRoutes = new ArrayList<>(1);

        /**
         * Returns the child for a segment of a pattern, where null is a parameter; adds a missing
         * one.
         */
        Node childOrNew(String segment) {
            if (segment == null) {
                parameter = parameter == null ? new Node() : parameter;
                return parameter;
            }
            if (literals.isEmpty()) {
                literals = new HashMap<>();
            }
            return literals.computeIfAbsent(segment, name -> new Node());
        }

        /**
         * Returns the first route that matches the request, in the order of {@link
         * PathPattern#compare}.
         */
        Route match(RouteQuery query, int depth) {
            if (depth == query.path().size()) {
                Route exact = firstMatch(exactRoutes, query);
                return exact != null ? exact : firstMatch(prefixRoutes, query);
            }
            String segment = query.path().get(depth);
            Node literal = literals.get(segment);
            Route found = literal == null ? null : literal.match(query, depth + 1);
            if (found == null && parameter != null && !segment.isEmpty()) {
                found = parameter.match(query, depth + 1);
            }
            return found != null ? found : firstMatch(prefixRoutes, query);
        }

        private static Route firstMatch(List<Route> routes, RouteQuery query) {
            for (int i = 0; i < routes.size(); i++) {
                if (routes.get(i).matchesConditions(query)) {
                    return routes.get(i);
                }
            }
            return null;
        }
    }

    private final List<Route> routes;
    private final Map<String, Node> exact = new HashMap<>();
    private final Map<String, Node> wildcards = new HashMap<>();
    private final Node anyHost = new Node();
    private final List<RouteConflict> conflicts = new ArrayList<>();

    /** Creates a table; it must be used only if it has no {@link #conflicts}. */
    public RouteTable(List<Route> routes) {
        List<Route> sorted = new ArrayList<>(routes);
        sorted.sort(Route.MOST_SPECIFIC_FIRST);
        this.routes = List.copyOf(sorted);
        for (Route route : sorted) {
            add(route);
        }
    }

    private void add(Route route) {
        Node node =
                switch (route.host().kind()) {
                    case EXACT -> exact.computeIfAbsent(route.host().name(), name -> new Node());
                    case WILDCARD ->
                            wildcards.computeIfAbsent(route.host().name(), name -> new Node());
                    case ANY -> anyHost;
                };
        for (String segment : route.path().segments()) {
            node = node.childOrNew(segment);
        }
        List<Route> sameEnd = route.path().prefix() ? node.prefixRoutes : node.exactRoutes;
        // Routes are added in order, so those of the same rank are the last ones.
        for (int i = sameEnd.size() - 1;
                i >= 0 && Route.compareConditions(sameEnd.get(i), route) == 0;
                i--) {
            RouteConflict.between(sameEnd.get(i), route).ifPresent(conflicts::add);
        }
        sameEnd.add(route);
    }

    /**
     * Returns all pairs of routes that match the same request and of which neither is more
     * specific.
     */
    public List<RouteConflict> conflicts() {
        return List.copyOf(conflicts);
    }

    /** Returns all routes, the most specific first. */
    public List<Route> routes() {
        return routes;
    }

    /** Returns the most specific route that matches the request, or null. */
    public Route match(RouteQuery query) {
        Node node = exact.get(query.host());
        Route found = node == null ? null : node.match(query, 0);
        if (found == null && !wildcards.isEmpty()) {
            found = matchWildcard(query);
        }
        return found != null ? found : anyHost.match(query, 0);
    }

    /** Tries the wildcards that match the host, the longest first. */
    private Route matchWildcard(RouteQuery query) {
        String host = query.host();
        for (int dot = host.indexOf('.'); dot >= 0; dot = host.indexOf('.', dot + 1)) {
            Node node = wildcards.get(host.substring(dot + 1));
            Route found = node == null ? null : node.match(query, 0);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    /**
     * Explains to operators why each route is selected for the request or not, the most specific
     * route first.
     */
    public List<String> explain(RouteQuery query) {
        Route selected = match(query);
        List<String> lines = new ArrayList<>();
        for (Route route : routes) {
            lines.add(route.name() + ": " + explain(route, query, selected));
        }
        return lines;
    }

    @SuppressWarnings("ReferenceEquality") // routes are compared as entries of this table
    private static String explain(Route route, RouteQuery query, Route selected) {
        if (route == selected) {
            return "selected, for pool " + route.pool();
        }
        String mismatch = route.explainMismatch(query);
        return mismatch != null
                ? mismatch
                : "matches, but " + selected.name() + " is more specific";
    }
}
