package trailthread.engine.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Compares the table with a linear search for the first match in the documented order. */
class RouteTablePropertyTest {
    private static final List<String> SEGMENTS = List.of("a", "b", "c", "");

    /** The documented order, implemented independently: strings that sort in this order. */
    private static String sortKey(Route r) {
        StringBuilder key = new StringBuilder();
        key.append(
                        switch (r.host().kind()) {
                            case EXACT -> "0";
                            case WILDCARD ->
                                    "1" + (char) ('z' - r.host().name().split("\\.").length);
                            case ANY -> "2";
                        })
                .append('|');
        for (String segment : r.path().segments()) {
            key.append(segment == null ? 'B' : 'A');
        }
        key.append(r.path().prefix() ? 'D' : 'C');
        return key.append(r.methods().isEmpty() ? '1' : '0')
                .append((char) ('z' - r.headers().size()))
                .append(r.requestClass() == null ? '1' : '0')
                .toString();
    }

    @Property(tries = 2000)
    @SuppressWarnings("ReferenceEquality") // the same entry of the table, not an equal one
    void theTableAgreesWithALinearSearch(
            @ForAll("tables") List<Route> routes, @ForAll("requests") RouteQuery query) {
        RouteTable table = new RouteTable(routes);
        List<Route> sorted = new ArrayList<>(routes);
        sorted.sort(Comparator.comparing(RouteTablePropertyTest::sortKey));
        Route first = sorted.stream().filter(r -> r.matches(query)).findFirst().orElse(null);
        Route found = table.match(query);
        // Either of two conflicting routes may be found, if the table reports the conflict.
        boolean conflict =
                first != found
                        && first != null
                        && found != null
                        && sortKey(first).equals(sortKey(found));
        if (conflict) {
            assertTrue(
                    table.conflicts().stream()
                            .anyMatch(
                                    c ->
                                            Set.of(c.first(), c.second())
                                                    .equals(Set.of(first, found))),
                    "a conflict is not reported: " + first + found);
        } else {
            assertEquals(first, found);
        }
    }

    @Property(tries = 2000)
    void aTableWithoutConflictsHasOneFirstRouteForAnyRequest(
            @ForAll("tables") List<Route> routes, @ForAll("requests") RouteQuery query) {
        RouteTable table = new RouteTable(routes);
        Route found = table.match(query);
        long equallySpecific =
                routes.stream()
                        .filter(r -> r.matches(query) && sortKey(r).equals(sortKey(found)))
                        .count();
        assertTrue(
                equallySpecific <= 1 || !table.conflicts().isEmpty(),
                "unreported conflict; equally specific routes: " + equallySpecific);
    }

    @Provide
    Arbitrary<List<Route>> tables() {
        Arbitrary<HostPattern> hosts =
                Arbitraries.of("*", "*.x", "*.a.x", "a.x", "b.a.x").map(HostPattern::parse);
        Arbitrary<PathPattern> paths =
                Combinators.combine(
                                Arbitraries.of("a", "b", "{v}").list().ofMaxSize(4),
                                Arbitraries.of(true, false))
                        .as((segments, prefix) -> PathPattern.parse(path(segments, prefix)));
        Arbitrary<Set<String>> methods = Arbitraries.of("GET", "POST").set().ofMaxSize(2);
        Arbitrary<Map<String, String>> headers =
                Arbitraries.maps(Arbitraries.of("h", "i"), Arbitraries.of("1", "2", Route.PRESENT))
                        .ofMaxSize(2);
        return Combinators.combine(
                        hosts,
                        paths,
                        methods,
                        headers,
                        Arbitraries.of("p", "q").injectNull(0.6),
                        Arbitraries.integers().between(0, 1_000_000))
                .as(
                        (host, path, m, h, c, n) ->
                                new Route("r" + n, host, path, m, h, c, "pool", null))
                .list()
                .ofMaxSize(25)
                .uniqueElements(Route::name);
    }

    private static String path(List<String> segments, boolean prefix) {
        if (segments.isEmpty()) {
            return prefix ? "/**" : "/";
        }
        return "/" + String.join("/", segments) + (prefix ? "/**" : "");
    }

    @Provide
    Arbitrary<RouteQuery> requests() {
        return Combinators.combine(
                        Arbitraries.of("x", "a.x", "b.a.x", "c.a.x", "d.c.x", "y", ""),
                        Arbitraries.of(SEGMENTS).list().ofMinSize(1).ofMaxSize(5),
                        Arbitraries.of("GET", "POST", "PUT"),
                        Arbitraries.maps(Arbitraries.of("h", "i"), Arbitraries.of("1", "2", "3"))
                                .ofMaxSize(2),
                        Arbitraries.of("p", "q").injectNull(0.5))
                .as(
                        (host, path, method, headers, c) ->
                                new RouteQuery(host, path, method, headers::get, c));
    }
}
