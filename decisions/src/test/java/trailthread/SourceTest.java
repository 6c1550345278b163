package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Limits on the length of lines and source files. */
class SourceTest {
    private static final int MAX_LINE_LENGTH = 110;
    private static final int MAX_LINES = 300;

    private static List<Path> sources(String folder) throws IOException {
        try (Stream<Path> files = Files.walk(Path.of(folder))) {
            return files.filter(f -> f.toString().endsWith(".java")).sorted().toList();
        }
    }

    @Test
    void noLineIsTooLong() throws IOException {
        List<Path> sources = sources("src");
        assertTrue(sources.size() > 5);
        for (Path source : sources) {
            List<String> lines = Files.readAllLines(source);
            for (int i = 0; i < lines.size(); i++) {
                assertTrue(lines.get(i).length() <= MAX_LINE_LENGTH, source + ":" + (i + 1));
            }
        }
    }

    @Test
    void mainFilesAreShortAndTheBalancerSaysWhereItsApiIsDeclared() throws IOException {
        for (Path source : sources("src/main")) {
            int lines = Files.readAllLines(source).size();
            assertTrue(lines <= MAX_LINES, source + ": " + lines + " lines");
        }
        List<String> balancer =
                Files.readAllLines(Path.of("src/main/java/trailthread/Balancer.java"));
        assertEquals(
                1,
                balancer.stream().limit(40).filter(l -> l.contains("trailthread.api}")).count(),
                "the class comment says where the events and actions are declared");
    }
}
