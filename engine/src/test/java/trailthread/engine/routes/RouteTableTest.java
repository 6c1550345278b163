package trailthread.engine.routes;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;

/** Tests the documented order case by case; {@link RouteTablePropertyTest} generates tables. */
public class RouteTableTest {
    private static Route route(String name, String host, String path) {
        return route(name, host, path, Set.of(), Map.of(), null);
    }

    private static Route route(
            String name,
            String host,
            String path,
            Set<String> methods,
            Map<String, String> headers,
            String requestClass) {
        return new Route(
                name,
                HostPattern.parse(host),
                PathPattern.parse(path),
                methods,
                headers,
                requestClass,
                "pool",
                null);
    }

    private static RouteQuery getQuery(String host, String path, Map<String, String> headers)
            throws BadTargetException {
        return new RouteQuery(
                host, Target.segments(path), "GET", headers::get, headers.get("class"));
    }

    private static String matchingRoute(
            List<Route> routes, String host, String path, Map<String, String> headers)
            throws BadTargetException {
        List<Route> reversed = new ArrayList<>(routes);
        Collections.reverse(reversed);
        Route first = new RouteTable(routes).match(getQuery(host, path, headers));
        Route second = new RouteTable(reversed).match(getQuery(host, path, headers));
        assertEquals("the order in the file does not matter", first, second);
        return first == null ? null : first.name();
    }

    @Test
    public void hostsDecideBeforePaths() throws Exception {
        List<Route> routes =
                List.of(
                        route("exact", "a.b.example", "/x/**"),
                        route("near", "*.b.example", "/x/y"),
                        route("far", "*.example", "/**"),
                        route("any", "*", "/x/y/z"));
        assertEquals("exact", matchingRoute(routes, "a.b.example", "/x/y", Map.of()));
        assertEquals(
                "the next host pattern is tried if no path matches",
                "far",
                matchingRoute(routes, "a.b.example", "/z", Map.of()));
        assertEquals("near", matchingRoute(routes, "c.b.example", "/x/y", Map.of()));
        assertEquals("near", matchingRoute(routes, "d.c.b.example", "/x/y", Map.of()));
        assertEquals(
                "a wildcard stands for at least one label",
                "far",
                matchingRoute(routes, "b.example", "/x/y", Map.of()));
        assertEquals("any", matchingRoute(routes, "example", "/x/y/z", Map.of()));
        assertNull(matchingRoute(routes, "example", "/x", Map.of()));
        assertNull(
                "a wildcard matches whole labels only",
                matchingRoute(
                        List.of(route("w", "*.b.example", "/**")), "ab.example", "/", Map.of()));
    }

    @Test
    public void pathsAreComparedSegmentBySegment() throws Exception {
        List<Route> routes =
                List.of(
                        route("literal", "*", "/a/b"),
                        route("template", "*", "/a/{id}"),
                        route("prefix", "*", "/a/**"),
                        route("deep", "*", "/{x}/b/c"),
                        route("root", "*", "/"),
                        route("all", "*", "/**"));
        assertEquals("literal", matchingRoute(routes, "h", "/a/b", Map.of()));
        assertEquals("template", matchingRoute(routes, "h", "/a/c", Map.of()));
        assertEquals("prefix", matchingRoute(routes, "h", "/a", Map.of()));
        assertEquals(
                "a parameter does not match an empty segment",
                "prefix",
                matchingRoute(routes, "h", "/a/", Map.of()));
        assertEquals("prefix", matchingRoute(routes, "h", "/a/b/c", Map.of()));
        assertEquals("deep", matchingRoute(routes, "h", "/z/b/c", Map.of()));
        assertEquals("root", matchingRoute(routes, "h", "/", Map.of()));
        assertEquals("whole segments only", "all", matchingRoute(routes, "h", "/ab", Map.of()));
        assertEquals(
                "an unreserved character is decoded",
                "literal",
                matchingRoute(routes, "h", "/%61/b", Map.of()));
    }

    @Test
    public void conditionsDecideLast() throws Exception {
        List<Route> routes =
                List.of(
                        route("plain", "*", "/a"),
                        route("get", "*", "/a", Set.of("GET"), Map.of(), null),
                        route("beta", "*", "/a", Set.of(), Map.of("x-beta", "*"), null),
                        route(
                                "both",
                                "*",
                                "/a",
                                Set.of("GET"),
                                Map.of("x-beta", "1", "x-two", "2"),
                                null),
                        route(
                                "classed",
                                "*",
                                "/a",
                                Set.of("GET"),
                                Map.of("x-beta", "1", "x-two", "2"),
                                "read"),
                        route("post", "*", "/a", Set.of("POST"), Map.of(), null));
        assertEquals("get", matchingRoute(routes, "h", "/a", Map.of()));
        assertEquals(
                "a method decides before a header",
                "get",
                matchingRoute(routes, "h", "/a", Map.of("x-beta", "1")));
        assertEquals("both", matchingRoute(routes, "h", "/a", Map.of("x-beta", "1", "x-two", "2")));
        assertEquals(
                "classed",
                matchingRoute(
                        routes, "h", "/a", Map.of("x-beta", "1", "x-two", "2", "class", "read")));
        assertEquals(List.of(), new RouteTable(routes).conflicts());
    }

    @Test
    public void reportsConflicts() {
        Route a = route("a", "*.example", "/x/{id}", Set.of("GET", "PUT"), Map.of("h", "*"), null);
        Route b =
                route(
                        "b",
                        "*.example",
                        "/x/{other}",
                        Set.of("PUT", "POST"),
                        Map.of("h", "1"),
                        null);
        List<RouteConflict> conflicts = new RouteTable(List.of(a, b)).conflicts();
        assertEquals(1, conflicts.size());
        assertEquals(
                "routes a and b both match PUT a.example/x/x, h: 1, and neither is more specific",
                conflicts.get(0).toString());
        assertTrue(
                "no common method",
                noConflict(
                        a,
                        route("c", "*.example", "/x/{z}", Set.of("POST"), Map.of("h", "*"), null)));
        assertTrue(
                "no common header value",
                noConflict(
                        route("d", "*", "/", Set.of(), Map.of("h", "1"), null),
                        route("e", "*", "/", Set.of(), Map.of("h", "2"), null)));
        assertTrue(
                "no common class",
                noConflict(
                        route("f", "*", "/", Set.of(), Map.of(), "x"),
                        route("g", "*", "/", Set.of(), Map.of(), "y")));
        assertTrue(
                "one route has more headers",
                noConflict(a, route("h", "*.example", "/x/{id}", Set.of("GET"), Map.of(), null)));
    }

    private static boolean noConflict(Route... routes) {
        return new RouteTable(List.of(routes)).conflicts().isEmpty();
    }

    @Test
    public void explainsWhyTheOtherRoutesDoNotMatch() throws Exception {
        List<Route> routes =
                List.of(
                        route("a", "a.example", "/x"),
                        route("b", "*", "/x/**"),
                        route("c", "*", "/x", Set.of("POST"), Map.of(), null),
                        route("d", "*", "/y"));
        assertEquals(
                List.of(
                        "a: host is not a.example",
                        "c: method is none of POST",
                        "d: path is not /y",
                        "b: selected, for pool pool"),
                new RouteTable(routes).explain(getQuery("h", "/x", Map.of())));
    }

    @Test
    public void rejectsInvalidPatterns() {
        for (String path :
                new String[] {
                    "", "a", "/a//b", "/a/../b", "/a*", "/*", "/**/a", "/{", "/{}", "/a{b}",
                    "/{a}b", "/a;b", "/a b"
                }) {
            assertThrows(path, IllegalArgumentException.class, () -> PathPattern.parse(path));
        }
        for (String host : new String[] {"", "*.", "a.", "*a", "a.*", "a:80", "a/b", "*.[::1]"}) {
            assertThrows(host, IllegalArgumentException.class, () -> HostPattern.parse(host));
        }
    }
}
