package trailthread.engine.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the most specific route that takes a request. Hosts are looked up by name, paths segment by
 * segment, so a match takes as long as the path is deep, however many routes there are. Never
 * changed once it is made.
 */
public final class RouteTable {
    /** What is under one place in the paths of one host. */
    private static final class Node {
        private Map<String, Node> literals = Map.of();
        private Node anySegment;

        /**
         * Routes that end here, and those that take all from here on, each the most specific first.
         */
        private final List<Route> ends = new ArrayList<>(1);

        private final List<Route> prefixes = new ArrayList<>(1);

        Node literal(String segment) {
            if (literals.isEmpty()) {
                literals = new HashMap<>();
            }
            return literals.computeIfAbsent(segment, name -> new Node());
        }

        Node any() {
            anySegment = anySegment == null ? new Node() : anySegment;
            return anySegment;
        }

        /** The first that takes the request, in the order of {@link PathPattern#compare}. */
        Route match(RouteQuery asked, int depth) {
            if (depth == asked.path().size()) {
                Route end = first(ends, asked);
                return end != null ? end : first(prefixes, asked);
            }
            String segment = asked.path().get(depth);
            Node literal = literals.get(segment);
            Route found = literal == null ? null : literal.match(asked, depth + 1);
            if (found == null && anySegment != null && !segment.isEmpty()) {
                found = anySegment.match(asked, depth + 1);
            }
            return found != null ? found : first(prefixes, asked);
        }

        private static Route first(List<Route> routes, RouteQuery asked) {
            for (int i = 0; i < routes.size(); i++) {
                if (routes.get(i).takesConditions(asked)) {
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

    /** Makes a table; whether it is of use, {@link #conflicts} says. */
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
            node = segment == null ? node.any() : node.literal(segment);
        }
        List<Route> same = route.path().prefix() ? node.prefixes : node.ends;
        // Sorted before: those of the same rank are the last ones.
        for (int i = same.size() - 1;
                i >= 0 && Route.compareConditions(same.get(i), route) == 0;
                i--) {
            RouteConflict conflict = RouteConflict.between(same.get(i), route);
            if (conflict != null) {
                conflicts.add(conflict);
            }
        }
        same.add(route);
    }

    /**
     * All pairs of routes of which neither goes before the other; a table with any is not to be
     * used.
     */
    public List<RouteConflict> conflicts() {
        return List.copyOf(conflicts);
    }

    /** The routes, the most specific first. */
    public List<Route> routes() {
        return routes;
    }

    /** The most specific route that takes the request, or null. */
    public Route match(RouteQuery asked) {
        Node node = exact.get(asked.host());
        Route found = node == null ? null : node.match(asked, 0);
        if (found == null && !wildcards.isEmpty()) {
            String host = asked.host();
            for (int dot = host.indexOf('.');
                    dot >= 0 && found == null;
                    dot = host.indexOf('.', dot + 1)) {
                node = wildcards.get(host.substring(dot + 1));
                found = node == null ? null : node.match(asked, 0);
            }
        }
        return found != null ? found : anyHost.match(asked, 0);
    }

    /** Why each route has the request or not, for people, in the order in which they are asked. */
    @SuppressWarnings("ReferenceEquality") // routes are compared as entries of this table
    public List<String> explain(RouteQuery asked) {
        Route winner = match(asked);
        List<String> lines = new ArrayList<>();
        for (Route route : routes) {
            String refusal = route.refusal(asked);
            lines.add(
                    route.name()
                            + ": "
                            + (route == winner
                                    ? "takes it, for pool " + route.pool()
                                    : refusal != null
                                            ? refusal
                                            : "takes it, too, but "
                                                    + winner.name()
                                                    + " is more specific"));
        }
        return lines;
    }
}
