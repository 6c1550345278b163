package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Limits that the source itself must keep. */
class SourceTest {
    private static final int LONGEST_LINE = 110;
    private static final int MOST_LINES = 1500;

    @Test
    void noLineIsTooLong() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src"))) {
            List<Path> sources =
                    files.filter(f -> f.toString().endsWith(".java")).sorted().toList();
            assertTrue(sources.size() > 5);
            for (Path source : sources) {
                List<String> lines = Files.readAllLines(source);
                for (int i = 0; i < lines.size(); i++) {
                    assertTrue(lines.get(i).length() <= LONGEST_LINE, source + ":" + (i + 1));
                }
            }
        }
    }

    @Test
    void theModuleStaysReadable() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/trailthread/Balancer.java"));
        long filled = lines.stream().filter(l -> !l.isBlank()).count();
        assertTrue(filled <= MOST_LINES, "non-blank lines: " + filled);
        assertEquals(
                1, lines.stream().limit(40).filter(l -> l.contains("trailthread.api")).count());
    }
}
