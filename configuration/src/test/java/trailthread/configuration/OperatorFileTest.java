package trailthread.configuration;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.Test;
import trailthread.engine.pool.PoolConfig;
import trailthread.engine.pool.PoolConfig.QuotaRange;
import trailthread.engine.pool.PoolConfig.RetrySafety;
import trailthread.engine.pool.PoolConfig.Source;

/** Reads operators' files, and checks the values and the reported faults. */
public class OperatorFileTest {
    private static final String MINIMAL =
            """
            [node]
            listen = "127.0.0.1:0"
            [pools.sim]
            workers = ["127.0.0.1:1"]
            [[routes]]
            name = "all"
            pool = "sim"
            """;

    private static List<String> faultLines(String text) {
        OperatorFile.Result result = OperatorFileReader.read("f", text);
        assertEquals(
                "a result has either contents or faults",
                result.contents() == null,
                !result.faults().isEmpty());
        return result.faults().stream().map(Fault::toString).toList();
    }

    /** The minimal file with a line inserted after another. */
    private static String minimalWith(String after, String line) {
        assertTrue(MINIMAL.contains(after));
        return MINIMAL.replace(after, after + "\n" + line);
    }

    @Test
    public void aMinimalFileHasDefaults() {
        OperatorFile file = OperatorFileReader.read("f", MINIMAL).contents();
        PoolConfig pool = file.services().pools().get(0);
        assertEquals(new Source.Fixed(List.of("127.0.0.1:1")), pool.source());
        assertEquals(
                "a plain pool has a class for each kind of request",
                List.of(RetrySafety.values()),
                pool.classes().stream().map(PoolConfig.ClassConfig::retrySafety).toList());
        assertEquals(391, file.services().connections());
        assertEquals(new QuotaRange(24, 391), pool.limits().connections());
        assertEquals("/**", file.services().routes().get(0).path().toString());
        assertNull(file.operatorListen());
        assertEquals(
                "equal files have equal contents",
                file.services(),
                OperatorFileReader.read("f", MINIMAL).contents().services());
    }

    @Test
    public void faultsHaveTheirPosition() {
        Object[][] table = {
            {
                "[node]\nlisten = \"a:1\"\nname = ",
                "f:3:8: expected TOML, found Unexpected end of input, "
                        + "expected ', \", ''', \"\"\", a number, a boolean, a date/time, an array, or a table"
            },
            {
                minimalWith("listen = \"127.0.0.1:0\"", "nmae = \"x\""),
                "f:3:1: node.nmae: expected a key that is known, such as name"
            },
            {
                minimalWith("listen = \"127.0.0.1:0\"", "descriptors = 20"),
                "f:3:1: node.descriptors: expected whole number from 96 to 1048576, found 20"
            },
            {
                minimalWith("listen = \"127.0.0.1:0\"", "body_memory = \"16MB\""),
                "f:3:1: node.body_memory: expected a size with its unit, such as 64KiB, found \"16MB\""
            },
            {
                minimalWith("listen = \"127.0.0.1:0\"", "seed = \"xyz\""),
                "f:3:1: node.seed: expected 1 to 16 hex digits, found \"xyz\""
            },
            {
                MINIMAL.replace("\"127.0.0.1:0\"", "80"),
                "f:2:1: node.listen: expected address:port, found 80"
            },
            {
                MINIMAL.replace("listen = \"127.0.0.1:0\"\n", ""),
                "f:1:1: node: expected address:port, found nothing".replace("node:", "node.listen:")
            },
            {
                minimalWith("workers = [\"127.0.0.1:1\"]", "deadline = 5"),
                "f:5:1: pools.sim.deadline: expected a duration with its unit, such as 250ms, found 5"
            },
            {
                minimalWith("workers = [\"127.0.0.1:1\"]", "aim = \"5 s\""),
                "f:5:1: pools.sim.aim: expected a duration with its unit, such as 250ms, found \"5 s\""
            },
            {
                minimalWith("workers = [\"127.0.0.1:1\"]", "profile = \"plane\""),
                "f:5:1: pools.sim.profile: expected plain (plain or platform), found \"plane\""
            },
            {
                minimalWith("workers = [\"127.0.0.1:1\"]", "roster = \"127.0.0.1:2\""),
                "f:3:1: pools.sim: expected one of workers, file and roster, found 2 of them"
            },
            {
                MINIMAL.replace("\"127.0.0.1:1\"", "\"127.0.0.1\""),
                "f:4:12: pools.sim.workers[0]: expected list of address:port, found \"127.0.0.1\""
            },
            {
                MINIMAL.replace("pool = \"sim\"", "pool = \"sin\""),
                "f:7:1: routes[0].pool: expected the name of a pool, such as sim, found \"sin\""
            },
            {
                minimalWith("pool = \"sim\"", "path = \"/a/../b\""),
                "f:8:1: routes[0].path: expected a path that is valid in a request (this has a dot segment, "
                        + "which some parsers resolve), found \"/a/../b\""
            },
            {
                minimalWith("pool = \"sim\"", "host = \"a:80\""),
                "f:8:1: routes[0].host: expected a host, *.domain or *, "
                        + "without port or trailing dot, found \"a:80\""
            },
            {
                minimalWith("pool = \"sim\"", "assigns = \"reads\""),
                "f:8:1: routes[0].assigns: expected a class of pool sim: "
                        + "safe, idempotent, keyed, unsafe, found \"reads\""
            },
            {
                minimalWith("pool = \"sim\"", "[[routes]]\nname = \"two\"\npool = \"sim\""),
                "f:8:1: routes[1]: expected no two "
                        + "routes that tie, found routes all and two both "
                        + "match GET any.example/, and neither is more specific"
            },
            {
                minimalWith(
                        "pool = \"sim\"",
                        "[[routes]]\nname = \"all\"\npath = \"/x\"\npool = \"sim\""),
                "f:9:1: routes[1].name: expected a name that no other route has, found \"all\""
            },
            {
                minimalWith(
                        "workers = [\"127.0.0.1:1\"]",
                        "[pools.sim.limits]\ncalls_guaranteed = 10000"),
                "f:6:1: pools.sim.limits.calls_guaranteed: expected whole number from 0 to 391, found 10000"
            },
            {
                minimalWith(
                        "workers = [\"127.0.0.1:1\"]",
                        "[[pools.sim.classes]]\nname = \"x\"\nrepeats = \"often\""),
                "f:7:1: pools.sim.classes[0].repeats: expected safe, idempotent, keyed or unsafe, found \"often\""
            },
            {
                minimalWith("workers = [\"127.0.0.1:1\"]", "[[pools.sim.tenants]]\nname = \"x\""),
                "f:5:1: pools.sim.tenants[0].per_second: expected number, found nothing"
            },
            {MINIMAL + "[extra]\n", "f:8:1: extra: expected one of node, operator, pools, routes"}
        };
        List<String> expected = new ArrayList<>();
        List<String> reported = new ArrayList<>();
        for (Object[] row : table) {
            expected.add((String) row[1]);
            reported.addAll(faultLines((String) row[0]));
        }
        assertEquals(expected, reported);
    }

    @Test
    public void faultsAreInTheOrderOfTheFile() {
        List<String> reported =
                faultLines(
                        """
                [node]
                nmae = "x"
                [pools.a]
                file = ""
                [pools.b]
                workers = ["x:0", "127.0.0.1:1"]
                attempts = 0
                [[routes]]
                pool = "c"
                """);
        assertEquals(
                List.of(
                        "f:1:1: node.listen",
                        "f:2:1: node.nmae",
                        "f:4:1: pools.a.file",
                        "f:6:12: pools.b.workers[0]",
                        "f:7:1: pools.b.attempts",
                        "f:8:1: routes[0].name",
                        "f:9:1: routes[0].pool"),
                reported.stream()
                        .map(line -> line.substring(0, line.indexOf(": expected")))
                        .toList());
    }

    @Test
    public void guaranteesMustNotExceedTheTotals() {
        String text =
                MINIMAL.replace(
                        "[[routes]]",
                        """
                [pools.sim.limits]
                connections_guaranteed = 300
                [pools.marks]
                workers = ["127.0.0.1:1"]
                [pools.marks.limits]
                connections_guaranteed = 300
                [[routes]]""");
        assertEquals(
                List.of(
                        "f:9:1: pools.marks.limits: expected guaranteed connections of all pools of no more than "
                                + "391, found 600 with this one"),
                faultLines(text));
    }

    @Test
    public void anUnreadableFileIsAFault() {
        assertEquals(
                "no/such:1:1: expected a file that can be read, found NoSuchFileException",
                OperatorFileReader.read(Path.of("no/such")).faults().get(0).toString());
    }

    @Test
    public void durationsAndSizes() {
        assertEquals(250_000_000L, Units.parseNanoseconds("250ms"));
        assertEquals(1_200_000_000L, Units.parseNanoseconds("1.2s"));
        assertEquals(90_000_000_000L, Units.parseNanoseconds("1.5min"));
        assertEquals(5_000L, Units.parseNanoseconds("5us"));
        assertEquals(65_536, Units.parseBytes("64KiB"));
        assertEquals(1_572_864, Units.parseBytes("1.5MiB"));
        for (String bad :
                new String[] {
                    "",
                    "5",
                    "ms",
                    "-1s",
                    "+1s",
                    "1e3s",
                    "1 s",
                    "1S",
                    "0.0000000001s",
                    "1.s",
                    ".5s",
                    "99999999999999999h",
                    "\u0661s"
                }) {
            assertThrows(bad, IllegalArgumentException.class, () -> Units.parseNanoseconds(bad));
        }
        assertThrows(IllegalArgumentException.class, () -> Units.parseBytes("64KB"));
    }

    @Test
    public void misspeltWordsGetASuggestion() {
        assertEquals("listen", SpellingSuggestion.find("lisent", List.of("name", "listen")));
        assertEquals("name", SpellingSuggestion.find("nam", List.of("listen", "name")));
        assertNull(SpellingSuggestion.find("quite_other", List.of("listen", "name")));
        assertEquals(3, SpellingSuggestion.editDistance("kitten", "sitting"));
    }

    /** Prevents a key from being added or changed without its row in the documentation. */
    @Test
    public void theDocumentationHasARowForEachKey() throws Exception {
        List<String> lines = Files.readAllLines(Path.of("..", "docs", "configuration.md"));
        Key.SectionType part = null;
        List<String> documented = new ArrayList<>();
        for (String line : lines) {
            if (line.startsWith("## ")) {
                part = null;
                for (Key.SectionType each : Key.SectionType.values()) {
                    part =
                            line.contains("`[" + each.path() + "]`")
                                            || line.contains("`[[" + each.path() + "]]`")
                                    ? each
                                    : part;
                }
            }
            if (part != null && line.startsWith("| `")) {
                String[] cells = line.split(" \\| ");
                documented.add(
                        part + " " + cells[0].substring(2) + " " + cells[1] + " " + cells[2]);
                assertTrue(line, cells.length == 4 && cells[3].length() > 10);
            }
        }
        List<String> keys =
                Arrays.stream(Key.values())
                        .map(
                                k ->
                                        k.sectionType()
                                                + " `"
                                                + k.keyName()
                                                + "` "
                                                + k.valueType()
                                                + " "
                                                + k.documentedDefault())
                        .toList();
        assertEquals(keys, documented);
    }

    @Test
    public void theExampleIsValid() {
        OperatorFile.Result example =
                OperatorFileReader.read(Path.of("..", "deploy", "operator.example.toml"));
        assertEquals(List.of(), example.faults());
        assertNotNull(example.contents().operatorListen());
        assertEquals(2, example.contents().services().pools().size());
    }
}
