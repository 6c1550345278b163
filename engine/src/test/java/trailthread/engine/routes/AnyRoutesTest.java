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

/**
 * The table against the plainest matcher: all routes in the written order, the first that takes the
 * request.
 */
class AnyRoutesTest {
    private static final List<String> SEGMENTS = List.of("a", "b", "c", "");

    /**
     * The written order once more, compared in its own way: by letters that sort as the order
     * wants.
     */
    private static String rank(Route r) {
        StringBuilder rank = new StringBuilder();
        rank.append(
                        r.host().kind() == HostPattern.Kind.EXACT
                                ? "0"
                                : r.host().kind() == HostPattern.Kind.ANY
                                        ? "2"
                                        : "1" + (char) ('z' - r.host().name().split("\\.").length))
                .append('|');
        for (String segment : r.path().segments()) {
            rank.append(segment == null ? 'B' : 'A');
        }
        rank.append(r.path().prefix() ? 'D' : 'C');
        return rank.append(r.methods().isEmpty() ? '1' : '0')
                .append((char) ('z' - r.headers().size()))
                .append(r.requestClass() == null ? '1' : '0')
                .toString();
    }

    @Property(tries = 2000)
    @SuppressWarnings("ReferenceEquality") // which entry of the table, not one equal to it
    void theTableAgreesWithALinearMatcher(
            @ForAll("tables") List<Route> routes, @ForAll("requests") RouteQuery asked) {
        RouteTable table = new RouteTable(routes);
        List<Route> sorted = new ArrayList<>(routes);
        sorted.sort(Comparator.comparing(AnyRoutesTest::rank));
        Route first = sorted.stream().filter(r -> r.takes(asked)).findFirst().orElse(null);
        Route found = table.match(asked);
        // Of routes that tie either may have it; that they tie was told.
        boolean tie =
                first != found && first != null && found != null && rank(first).equals(rank(found));
        if (tie) {
            assertTrue(
                    table.conflicts().stream()
                            .anyMatch(
                                    c ->
                                            Set.of(c.first(), c.second())
                                                    .equals(Set.of(first, found))),
                    "a tie that was not told: " + first + found);
        } else {
            assertEquals(first, found);
        }
    }

    @Property(tries = 2000)
    void aTableWithoutConflictsHasOneFirstRouteForAnyRequest(
            @ForAll("tables") List<Route> routes, @ForAll("requests") RouteQuery asked) {
        RouteTable table = new RouteTable(routes);
        Route found = table.match(asked);
        long equals =
                routes.stream().filter(r -> r.takes(asked) && rank(r).equals(rank(found))).count();
        assertTrue(equals <= 1 || !table.conflicts().isEmpty(), "tied: " + equals);
    }

    @Provide
    Arbitrary<List<Route>> tables() {
        Arbitrary<HostPattern> hosts =
                Arbitraries.of("*", "*.x", "*.a.x", "a.x", "b.a.x").map(HostPattern::parse);
        Arbitrary<PathPattern> paths =
                Combinators.combine(
                                Arbitraries.of("a", "b", "{v}").list().ofMaxSize(4),
                                Arbitraries.of(true, false))
                        .as(
                                (segments, prefix) ->
                                        PathPattern.parse(
                                                segments.isEmpty()
                                                        ? prefix ? "/**" : "/"
                                                        : "/"
                                                                + String.join("/", segments)
                                                                + (prefix ? "/**" : "")));
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
