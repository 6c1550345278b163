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

/** The documented order, case by case; {@link AnyRoutesTest} has generated tables. */
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

    private static RouteQuery get(String host, String path, Map<String, String> headers)
            throws BadTargetException {
        return new RouteQuery(
                host, Target.segments(path), "GET", headers::get, headers.get("class"));
    }

    private static String matching(
            List<Route> routes, String host, String path, Map<String, String> headers)
            throws BadTargetException {
        List<Route> reversed = new ArrayList<>(routes);
        Collections.reverse(reversed);
        Route first = new RouteTable(routes).match(get(host, path, headers));
        Route second = new RouteTable(reversed).match(get(host, path, headers));
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
        assertEquals("exact", matching(routes, "a.b.example", "/x/y", Map.of()));
        assertEquals(
                "falls back where no path suits",
                "far",
                matching(routes, "a.b.example", "/z", Map.of()));
        assertEquals("near", matching(routes, "c.b.example", "/x/y", Map.of()));
        assertEquals("near", matching(routes, "d.c.b.example", "/x/y", Map.of()));
        assertEquals(
                "a wildcard stands for a label at least",
                "far",
                matching(routes, "b.example", "/x/y", Map.of()));
        assertEquals("any", matching(routes, "example", "/x/y/z", Map.of()));
        assertNull(matching(routes, "example", "/x", Map.of()));
        assertNull(
                "not within a label",
                matching(List.of(route("w", "*.b.example", "/**")), "ab.example", "/", Map.of()));
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
        assertEquals("literal", matching(routes, "h", "/a/b", Map.of()));
        assertEquals("template", matching(routes, "h", "/a/c", Map.of()));
        assertEquals("prefix", matching(routes, "h", "/a", Map.of()));
        assertEquals(
                "an empty segment is not any segment",
                "prefix",
                matching(routes, "h", "/a/", Map.of()));
        assertEquals("prefix", matching(routes, "h", "/a/b/c", Map.of()));
        assertEquals("deep", matching(routes, "h", "/z/b/c", Map.of()));
        assertEquals("root", matching(routes, "h", "/", Map.of()));
        assertEquals("whole segments only", "all", matching(routes, "h", "/ab", Map.of()));
        assertEquals("encoded without need", "literal", matching(routes, "h", "/%61/b", Map.of()));
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
        assertEquals("get", matching(routes, "h", "/a", Map.of()));
        assertEquals(
                "a method goes before a header",
                "get",
                matching(routes, "h", "/a", Map.of("x-beta", "1")));
        assertEquals("both", matching(routes, "h", "/a", Map.of("x-beta", "1", "x-two", "2")));
        assertEquals(
                "classed",
                matching(routes, "h", "/a", Map.of("x-beta", "1", "x-two", "2", "class", "read")));
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
                "other methods",
                noConflict(
                        a,
                        route("c", "*.example", "/x/{z}", Set.of("POST"), Map.of("h", "*"), null)));
        assertTrue(
                "other values",
                noConflict(
                        route("d", "*", "/", Set.of(), Map.of("h", "1"), null),
                        route("e", "*", "/", Set.of(), Map.of("h", "2"), null)));
        assertTrue(
                "other classes",
                noConflict(
                        route("f", "*", "/", Set.of(), Map.of(), "x"),
                        route("g", "*", "/", Set.of(), Map.of(), "y")));
        assertTrue(
                "one more header",
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
                new RouteTable(routes).explain(get("h", "/x", Map.of())));
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
