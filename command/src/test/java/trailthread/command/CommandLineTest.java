package trailthread.command;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** The output and exit statuses of the commands. */
public class CommandLineTest {
    private static final Path EXAMPLE = Path.of("..", "deploy", "operator.example.toml");

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final PrintStream systemOut = System.out;
    private final PrintStream systemErr = System.err;

    @Before
    public void redirect() {
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    @After
    public void restore() {
        System.setOut(systemOut);
        System.setErr(systemErr);
    }

    private void assertExitStatus(int expected, String... args) {
        int actual = Trailthread.run(args);
        assertEquals(out + "\n" + err, expected, actual);
    }

    private void assertPrinted(ByteArrayOutputStream stream, String text) {
        assertTrue(
                "'" + text + "' in: " + stream,
                stream.toString(StandardCharsets.UTF_8).contains(text));
    }

    @Test
    public void checkPrintsPoolsAndRoutes() {
        assertExitStatus(0, "check", EXAMPLE.toString());
        assertPrinted(out, "pool sim: plain, workers 127.0.0.1:9001; calls 200 to 391");
        assertPrinted(
                out, "route marks: marks.example.org/hooks/** POST,PUT {x-hook=*} -> pool marks");
        assertPrinted(out, "route attempts: */attempts/{}/use POST -> pool sim, as attempt-use");
    }

    @Test
    public void checkReportsEveryFaultAndExitsWithTwo() throws Exception {
        Path file = Files.createTempFile("operator", ".toml");
        try {
            Files.writeString(file, "[node]\nlisten = 1\n[[routes]]\nname = \"a\"\npool = \"x\"\n");
            assertExitStatus(2, "check", file.toString());
            assertPrinted(err, file + ":2:1: node.listen: expected address:port, found 1\n");
            assertPrinted(
                    err,
                    "pools: expected at least one pool, begun with [pools.NAME], found none\n");
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void routeExplainsTheMatch() {
        assertExitStatus(
                0,
                "route",
                EXAMPLE.toString(),
                "--host",
                "marks.example.org:80",
                "--path",
                "/hooks/7?x",
                "--method",
                "POST",
                "--header",
                "X-Hook: 1");
        assertPrinted(out, "route marks, pool marks, class by the method");
        assertPrinted(out, "  sim: matches, but marks is more specific");
        assertPrinted(out, "  attempts: path is not /attempts/{}/use");
    }

    @Test
    public void routeWithoutAMatch() throws Exception {
        Path file = Files.createTempFile("operator", ".toml");
        try {
            Files.writeString(
                    file,
                    Files.readString(EXAMPLE).replace("path = \"/**\"", "path = \"/sim/**\""));
            assertExitStatus(1, "route", file.toString(), "--path", "/x");
            assertPrinted(out, "404: no route takes it");
            assertExitStatus(2, "route", file.toString(), "--path", "/x/../y");
            assertPrinted(out, "400: a dot segment");
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void wrongArguments() {
        assertExitStatus(2);
        assertExitStatus(2, "sreve");
        assertPrinted(err, "serve");
        assertExitStatus(2, "check");
        assertExitStatus(2, "route", EXAMPLE.toString(), "--header", "none");
        assertExitStatus(2, "serve", "no/such/file");
        assertPrinted(err, "no/such/file:1:1: expected a file that can be read");
    }

    @Test
    public void help() {
        assertExitStatus(0, "--help");
        assertPrinted(out, "route: no route takes the request");
        assertExitStatus(0, "serve", "--help");
        assertExitStatus(0, "--version");
        assertPrinted(out, "trailthread ");
    }
}
