package trailthread.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import trailthread.engine.pool.PoolConfig;
import trailthread.engine.pool.PoolConfig.Profile;
import trailthread.engine.routes.HostPattern;
import trailthread.engine.routes.PathPattern;
import trailthread.engine.routes.Route;
import trailthread.engine.routes.RouteConflict;
import trailthread.engine.routes.RouteTable;

/** Reads the routes of an operator's file. */
final class RoutesReader {
    private final FaultCollector faults;
    private final Map<String, PoolConfig> pools;

    /**
     * Makes a reader.
     *
     * @param pools that routes may lead to, by their names
     */
    RoutesReader(FaultCollector faults, Map<String, PoolConfig> pools) {
        this.faults = faults;
        this.pools = pools;
    }

    /** Reads all routes without faults, in the order of the file. */
    List<Route> read(Section root) {
        List<Section> sections = root.sections("routes", Key.Part.ROUTE);
        if (sections.isEmpty()) {
            root.fault("routes", "at least one route, begun with [[routes]]", "none");
        }
        Map<String, Section> byName = new HashMap<>();
        List<Route> routes = new ArrayList<>();
        for (Section section : sections) {
            int faultsBefore = faults.size();
            Route route = route(section);
            if (byName.putIfAbsent(route.name(), section) != null) {
                section.fault(Key.ROUTE_NAME, "a name that no other route has");
            }
            if (faults.size() == faultsBefore) {
                routes.add(route);
            }
        }
        for (RouteConflict conflict : new RouteTable(routes).conflicts()) {
            byName.get(conflict.second().name())
                    .fault(null, "no two routes that tie", conflict.toString());
        }
        return routes;
    }

    private Route route(Section section) {
        String name = section.text(Key.ROUTE_NAME, Names.UNNAMED);
        if (!Names.isName(name)) {
            section.fault(Key.ROUTE_NAME, Names.EXPECTED);
        }
        Map<String, String> headers = headers(section);
        PoolConfig pool = pool(section);
        return new Route(
                name,
                parsed(section, Key.ROUTE_HOST, "*", HostPattern::parse),
                parsed(section, Key.ROUTE_PATH, "/**", PathPattern::parse),
                new TreeSet<>(section.list(Key.ROUTE_METHODS, RoutesReader::method)),
                headers,
                requestClass(section, Key.ROUTE_CLASS, pool),
                pool == null ? "" : pool.name(),
                requestClass(section, Key.ROUTE_ASSIGNS, pool));
    }

    private static Map<String, String> headers(Section section) {
        Map<String, String> headers = new LinkedHashMap<>();
        section.texts(Key.ROUTE_HEADERS)
                .forEach(
                        (name, value) -> {
                            if (!Names.isHttpToken(name)) {
                                section.fault(Key.ROUTE_HEADERS, "names of headers");
                            }
                            headers.put(name.toLowerCase(Locale.ROOT), value);
                        });
        return headers;
    }

    /** The pool that a route leads to, or null. */
    private PoolConfig pool(Section section) {
        String name = section.text(Key.ROUTE_POOL, null);
        PoolConfig pool = pools.get(name);
        if (name != null && pool == null) {
            String nearest = Nearest.of(name, pools.keySet());
            String expected =
                    nearest == null
                            ? "one of " + String.join(", ", pools.keySet())
                            : "the name of a pool, such as " + nearest;
            section.fault(Key.ROUTE_POOL, expected);
        }
        return pool;
    }

    /** The name of a class of the pool, or null. */
    private static String requestClass(Section section, Key key, PoolConfig pool) {
        String name = section.text(key, null);
        if (name == null || pool == null) {
            return name;
        }
        List<String> known =
                pool.classes().stream().map(config -> config.requestClass().name()).toList();
        if (!known.contains(name)) {
            section.fault(key, "a class of pool " + pool.name() + ": " + String.join(", ", known));
        }
        if (key == Key.ROUTE_ASSIGNS && pool.profile() == Profile.PLATFORM) {
            section.fault(key, "nothing, as the platform's clients name their classes");
        }
        return name;
    }

    private static String method(String text) {
        if (!Names.isHttpToken(text)) {
            throw new IllegalArgumentException("no method");
        }
        return text;
    }

    private static <T> T parsed(
            Section section, Key key, String otherwise, Function<String, T> parser) {
        try {
            return parser.apply(section.text(key, otherwise));
        } catch (IllegalArgumentException e) {
            section.fault(key, e.getMessage());
            return parser.apply(otherwise);
        }
    }
}
