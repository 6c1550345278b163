package trailthread.engine.routes;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.junit.Test;

/** What requests ask for, and what is refused because two readers could see it differently. */
public class TargetTest {
    private static Target read(String target, String... hosts) throws BadTargetException {
        return Target.parse("GET", target, Arrays.asList(hosts), true);
    }

    private static void refused(String why, String target, String... hosts) {
        BadTargetException e =
                assertThrows(
                        target + " " + Arrays.toString(hosts),
                        BadTargetException.class,
                        () -> read(target, hosts));
        assertEquals(target, why, e.getMessage());
    }

    @Test
    public void hosts() throws Exception {
        String[][] table = {
            {"a.example", "a.example"},
            {"A.Example", "a.example"},
            {"a.example.", "a.example"},
            {"a.example:8080", "a.example"},
            {"a.example.:80", "a.example"},
            {"a.example:", "a.example"},
            {"127.0.0.1:1", "127.0.0.1"},
            {"[::1]", "[::1]"},
            {"[::1]:80", "[::1]"},
            {"a_b.example", "a_b.example"},
            {"xn--bcher-kva.example", "xn--bcher-kva.example"},
            {"", ""}
        };
        for (String[] row : table) {
            assertEquals(row[0], row[1], read("/", row[0]).host());
        }
        String[] bad = {
            "a..b",
            ".a",
            "-a",
            "a-",
            "a b",
            "a/b",
            "u@a",
            "a%41",
            "a:b",
            "a:99999999",
            "[::1",
            "::1]",
            "b\u00fccher.example",
            "a,b",
            "*",
            "*.a",
            "a\tb"
        };
        for (String host : bad) {
            assertThrows(host, BadTargetException.class, () -> read("/", host));
        }
    }

    @Test
    public void oneHostExactly() throws Exception {
        refused("more than one Host", "/", "a", "a");
        refused("no Host", "/");
        assertEquals("", Target.parse("GET", "/", List.of(), false).host());
    }

    @Test
    public void anAbsoluteTargetNamesTheSameHost() throws Exception {
        assertEquals(
                new Target("b.example", "/x?y", List.of("x")),
                read("http://B.example:80/x?y", "b.example"));
        assertEquals(
                new Target("b.example", "/?y", List.of("")),
                read("HTTP://b.example?y", "B.example."));
        assertEquals(
                new Target("b.example", "/", List.of("")), read("https://b.example", "b.example"));
        assertEquals("b", Target.parse("GET", "http://b/", List.of(), false).host());
        refused("a target and a Host that differ", "http://b.example/", "a.example");
        refused("a target and a Host that differ", "http://b.example/", "");
        refused("an absolute target without a host", "http:///x", "a");
        refused("a target in neither origin nor absolute form", "ftp://a/x", "a");
        refused("a target in neither origin nor absolute form", "*", "a");
        refused("a target in neither origin nor absolute form", "x", "a");
        refused("a host that is none", "http://u@b.example/", "a");
        BadTargetException e =
                assertThrows(
                        BadTargetException.class,
                        () -> Target.parse("CONNECT", "a:1", List.of("a"), true));
        assertEquals("no tunnels here", e.getMessage());
    }

    @Test
    public void pathsForComparing() throws Exception {
        Object[][] table = {
            {"/", List.of("")},
            {"/a", List.of("a")},
            {"/a/", List.of("a", "")},
            {"/a/b", List.of("a", "b")},
            {"/%61", List.of("a")},
            {"/%7e%2D", List.of("~-")},
            {"/a%20b", List.of("a%20b")},
            {"/a%c3%bc", List.of("a%C3%BC")},
            {"/%3b", List.of("%3B")},
            {"/a:b@c", List.of("a:b@c")},
            {"/...", List.of("...")},
            {"/a?/../;//", List.of("a")}
        };
        for (Object[] row : table) {
            assertEquals(row[0].toString(), row[1], read((String) row[0], "a").segments());
            assertEquals(
                    "passed on letter for letter", row[0], read((String) row[0], "a").origin());
        }
    }

    @Test
    public void whatTwoReadersCouldSeeDifferentlyIsRefused() {
        refused("a dot segment: some readers take it out", "/a/../b", "a");
        refused("a dot segment: some readers take it out", "/a/%2e%2E/b", "a");
        refused("a dot segment: some readers take it out", "/.", "a");
        refused("an empty segment: some readers drop it", "//a", "a");
        refused("an empty segment: some readers drop it", "/a//b", "a");
        refused("a path parameter: some readers take it out", "/a;x=1/b", "a");
        refused("an encoded slash: some readers split there", "/a%2fb", "a");
        refused("an encoded slash: some readers split there", "/a%5Cb", "a");
        refused("an encoded control letter", "/a%00", "a");
        refused("an encoded control letter", "/a%0d%0a", "a");
        refused("a % without two hex digits", "/a%", "a");
        refused("a % without two hex digits", "/a%4", "a");
        refused("a % without two hex digits", "/a%4g", "a");
        refused("a letter in the path that must be encoded", "/a\\b", "a");
        refused("a letter in the path that must be encoded", "/a b", "a");
        refused("a letter in the path that must be encoded", "/\u00fc", "a");
        refused("a letter in the path that must be encoded", "/a#b", "a");
        refused("a letter in the query that must be encoded", "/a?b c", "a");
        refused("a letter in the query that must be encoded", "/a?b#c", "a");
    }
}
