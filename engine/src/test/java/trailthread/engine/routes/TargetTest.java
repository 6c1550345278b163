package trailthread.engine.routes;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.junit.Test;

/** Tests that targets are parsed, and rejected if two parsers could read them differently. */
public class TargetTest {
    private static Target parse(String target, String... hosts) throws BadTargetException {
        return Target.parse("GET", target, Arrays.asList(hosts), true);
    }

    private static void assertRejected(String message, String target, String... hosts) {
        BadTargetException e =
                assertThrows(
                        target + " " + Arrays.toString(hosts),
                        BadTargetException.class,
                        () -> parse(target, hosts));
        assertEquals(target, message, e.getMessage());
    }

    @Test
    public void parsesHosts() throws Exception {
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
            assertEquals(row[0], row[1], parse("/", row[0]).host());
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
            assertThrows(host, BadTargetException.class, () -> parse("/", host));
        }
    }

    @Test
    public void requiresOneHostHeader() throws Exception {
        assertRejected("more than one Host header", "/", "a", "a");
        assertRejected("no Host header", "/");
        assertEquals("", Target.parse("GET", "/", List.of(), false).host());
    }

    @Test
    public void anAbsoluteTargetMustNameTheSameHost() throws Exception {
        assertEquals(
                new Target("b.example", "/x?y", List.of("x")),
                parse("http://B.example:80/x?y", "b.example"));
        assertEquals(
                new Target("b.example", "/?y", List.of("")),
                parse("HTTP://b.example?y", "B.example."));
        assertEquals(
                new Target("b.example", "/", List.of("")), parse("https://b.example", "b.example"));
        assertEquals("b", Target.parse("GET", "http://b/", List.of(), false).host());
        assertRejected("a target and a Host header that differ", "http://b.example/", "a.example");
        assertRejected("a target and a Host header that differ", "http://b.example/", "");
        assertRejected("an absolute target without a host", "http:///x", "a");
        assertRejected("a target in neither origin nor absolute form", "ftp://a/x", "a");
        assertRejected("a target in neither origin nor absolute form", "*", "a");
        assertRejected("a target in neither origin nor absolute form", "x", "a");
        assertRejected("an invalid host", "http://u@b.example/", "a");
        BadTargetException e =
                assertThrows(
                        BadTargetException.class,
                        () -> Target.parse("CONNECT", "a:1", List.of("a"), true));
        assertEquals("CONNECT is not supported", e.getMessage());
    }

    @Test
    public void normalizesPaths() throws Exception {
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
            assertEquals(row[0].toString(), row[1], parse((String) row[0], "a").segments());
            assertEquals("forwarded unchanged", row[0], parse((String) row[0], "a").origin());
        }
    }

    @Test
    public void rejectsWhatTwoParsersCouldReadDifferently() {
        assertRejected("a dot segment, which some parsers resolve", "/a/../b", "a");
        assertRejected("a dot segment, which some parsers resolve", "/a/%2e%2E/b", "a");
        assertRejected("a dot segment, which some parsers resolve", "/.", "a");
        assertRejected("an empty segment, which some parsers remove", "//a", "a");
        assertRejected("an empty segment, which some parsers remove", "/a//b", "a");
        assertRejected("a path parameter, which some parsers remove", "/a;x=1/b", "a");
        assertRejected("an encoded slash, at which some parsers split the path", "/a%2fb", "a");
        assertRejected("an encoded slash, at which some parsers split the path", "/a%5Cb", "a");
        assertRejected("an encoded control character", "/a%00", "a");
        assertRejected("an encoded control character", "/a%0d%0a", "a");
        assertRejected("a % without two hex digits", "/a%", "a");
        assertRejected("a % without two hex digits", "/a%4", "a");
        assertRejected("a % without two hex digits", "/a%4g", "a");
        assertRejected("a character in the path that must be percent-encoded", "/a\\b", "a");
        assertRejected("a character in the path that must be percent-encoded", "/a b", "a");
        assertRejected("a character in the path that must be percent-encoded", "/\u00fc", "a");
        assertRejected("a character in the path that must be percent-encoded", "/a#b", "a");
        assertRejected("a character in the query that must be percent-encoded", "/a?b c", "a");
        assertRejected("a character in the query that must be percent-encoded", "/a?b#c", "a");
    }
}
