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
     * Creates a reader.
     *
     * @param pools that routes may lead to, by their names
     */
    RoutesReader(FaultCollector faults, Map<String, PoolConfig> pools) {
        this.faults = faults;
        this.pools = pools;
    }

    /** Returns the routes that have no faults, in the order of the file, and reports the others. */
    List<Route> read(Section root) {
        List<Section> sections = root.sections("routes", Key.SectionType.ROUTE);
        if (sections.isEmpty()) {
            root.reportFault("routes", "at least one route, begun with [[routes]]", "none");
        }
        Map<String, Section> byName = new HashMap<>();
        List<Route> routes = new ArrayList<>();
        for (Section section : sections) {
            int faultsBefore = faults.size();
            Route route = readRoute(section);
            if (byName.putIfAbsent(route.name(), section) != null) {
                section.reportFault(Key.ROUTE_NAME, "a name that no other route has");
            }
            if (faults.size() == faultsBefore) {
                routes.add(route);
            }
        }
        for (RouteConflict conflict : new RouteTable(routes).conflicts()) {
            byName.get(conflict.second().name())
                    .reportFault(null, "no two routes that tie", conflict.toString());
        }
        return routes;
    }

    private Route readRoute(Section section) {
        String name = section.text(Key.ROUTE_NAME, NameSyntax.PLACEHOLDER);
        if (!NameSyntax.isName(name)) {
            section.reportFault(Key.ROUTE_NAME, NameSyntax.NAME_FORMAT);
        }
        Map<String, String> headers = readHeaders(section);
        PoolConfig pool = readPool(section);
        return new Route(
                name,
                readPattern(section, Key.ROUTE_HOST, "*", HostPattern::parse),
                readPattern(section, Key.ROUTE_PATH, "/**", PathPattern::parse),
                new TreeSet<>(section.textList(Key.ROUTE_METHODS, RoutesReader::requireMethod)),
                headers,
                readRequestClass(section, Key.ROUTE_CLASS, pool),
                pool == null ? "" : pool.name(),
                readRequestClass(section, Key.ROUTE_ASSIGNS, pool));
    }

    private static Map<String, String> readHeaders(Section section) {
        Map<String, String> headers = new LinkedHashMap<>();
        section.textTable(Key.ROUTE_HEADERS)
                .forEach(
                        (name, value) -> {
                            if (!NameSyntax.isHttpToken(name)) {
                                section.reportFault(Key.ROUTE_HEADERS, "names of headers");
                            }
                            headers.put(name.toLowerCase(Locale.ROOT), value);
                        });
        return headers;
    }

    /** The pool that a route leads to, or null if there is none of this name. */
    private PoolConfig readPool(Section section) {
        String name = section.text(Key.ROUTE_POOL, null);
        PoolConfig pool = pools.get(name);
        if (name != null && pool == null) {
            String suggestion = SpellingSuggestion.find(name, pools.keySet());
            String expected =
                    suggestion == null
                            ? "one of " + String.join(", ", pools.keySet())
                            : "the name of a pool, such as " + suggestion;
            section.reportFault(Key.ROUTE_POOL, expected);
        }
        return pool;
    }

    /** The request class that the key names, or null if the key is not given. */
    private static String readRequestClass(Section section, Key key, PoolConfig pool) {
        String name = section.text(key, null);
        if (name == null || pool == null) {
            return name;
        }
        List<String> classNames =
                pool.classes().stream().map(config -> config.requestClass().name()).toList();
        if (!classNames.contains(name)) {
            section.reportFault(
                    key, "a class of pool " + pool.name() + ": " + String.join(", ", classNames));
        }
        if (key == Key.ROUTE_ASSIGNS && pool.profile() == Profile.PLATFORM) {
            section.reportFault(key, "nothing, as the platform's clients name their classes");
        }
        return name;
    }

    private static String requireMethod(String text) {
        if (!NameSyntax.isHttpToken(text)) {
            throw new IllegalArgumentException("no method");
        }
        return text;
    }

    private static <T> T readPattern(
            Section section, Key key, String otherwise, Function<String, T> parser) {
        try {
            return parser.apply(section.text(key, otherwise));
        } catch (IllegalArgumentException e) {
            section.reportFault(key, e.getMessage());
            return parser.apply(otherwise);
        }
    }
}
