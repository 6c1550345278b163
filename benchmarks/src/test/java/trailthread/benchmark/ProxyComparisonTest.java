package trailthread.benchmark;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.junit.Test;

/** The arithmetic of the comparison, and what it reads its figures from. */
public class ProxyComparisonTest {
    private static final long MS = 1_000_000;

    private static Measurement turn(long served, long slow, long refused, long p99Ms) {
        return new Measurement(
                served, slow, refused, 0, 0, 5, MS, p99Ms * MS, p99Ms * MS, p99Ms * MS);
    }

    @Test
    public void aTurnTellsWhatWasRecorded() {
        Histogram served = new Histogram(10_000 * MS, 3);
        for (int ms = 1; ms <= 1000; ms++) {
            served.recordValue(ms * MS);
        }
        Measurement turn = Measurement.of(served, 7, 2, 1, 2);
        assertEquals(1009, turn.calls());
        assertEquals(900, turn.slow());
        assertEquals(500, turn.p50Ns() / 1e6, 0.6);
        assertEquals(990, turn.p99Ns() / 1e6, 1.1);
        assertEquals(999, turn.p999Ns() / 1e6, 1.1);
        assertEquals(1000, turn.maxNs() / 1e6, 1.1);
        assertEquals(turn, Measurement.parse(turn.format()));
    }

    @Test
    public void theSummaryTakesMediansAndSums() {
        assertEquals(3, Summary.median(9, 1, 3), 0);
        assertEquals(2.5, Summary.median(4, 1, 3, 2), 0);
        assertEquals(
                "64 connections: median p99 node 20.00 ms, proxy 8.00 ms, ratio 2.50; refused node 3, "
                        + "proxy 0; slow, refused or failed node 2.000%, proxy 0.000%",
                Summary.line(
                        64,
                        List.of(turn(199, 0, 1, 20), turn(98, 3, 2, 300), turn(100, 2, 0, 2)),
                        List.of(turn(100, 0, 0, 8))));
    }

    @Test
    public void cpuTimeIsReadAsTheSystemTellsIt() {
        assertEquals(
                3.75,
                CpuTime.processTime("41 (a) b (c)) S 1 2 3 4 5 6 7 8 9 10 250 125 7 8 0"),
                1e-9);
        String cores =
                "cpu  9 9 9 9 9 9 9 9 0 0\n"
                        + "cpu1 7 7 7 7 7 7 7 7 0 0\ncpu11 100 1 50 9000 900 10 20 19 5 5\n";
        assertEquals(2, CpuTime.coreTime(cores, 11), 1e-9);
        assertEquals(Double.NaN, CpuTime.coreTime(cores, 2), 0);
    }

    @Test
    public void theNodeRunsAsDeployedAndTheProxyWithItsFlags() {
        String toml =
                "build = \"mvn\"\n"
                        + "run = \"exec java -Xmx80m -XX:SharedArchiveFile=t.jsa -jar t.jar serve\"\n"
                        + "sim = \"exec java -jar t.jar adapter\"\n";
        assertEquals(
                List.of("java", "-Xmx80m", "-XX:SharedArchiveFile=t.jsa", "-jar", "t.jar", "serve"),
                NodeCommand.node(toml));
        assertEquals(
                List.of("java", "-Xmx80m", "-cp", "c", "Main", "x"),
                NodeCommand.other(toml, "c", "Main", "x"));
    }

    @Test
    public void argumentsHaveDefaultsAndNoStrangers() {
        Arguments arguments = new Arguments(Map.of("a", "1", "b", "2,3"), "--a", "7");
        assertEquals(7, arguments.whole("a"));
        assertEquals(3, arguments.list("b")[1]);
        assertThrows(
                IllegalArgumentException.class, () -> new Arguments(Map.of("a", "1"), "--c", "1"));
        assertThrows(IllegalArgumentException.class, () -> new Arguments(Map.of("a", "1"), "--a"));
    }
}
