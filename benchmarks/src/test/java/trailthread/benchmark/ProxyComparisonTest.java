package trailthread.benchmark;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.junit.Test;

/** The calculations of the comparison, and the formats that it parses. */
public class ProxyComparisonTest {
    private static final long MS = 1_000_000;

    private static Measurement measurement(long served, long slow, long refused, long p99Ms) {
        return new Measurement(
                served, slow, refused, 0, 0, 5, MS, p99Ms * MS, p99Ms * MS, p99Ms * MS);
    }

    @Test
    public void measurementContainsRecordedLatenciesAndCounts() {
        Histogram served = new Histogram(10_000 * MS, 3);
        for (int ms = 1; ms <= 1000; ms++) {
            served.recordValue(ms * MS);
        }
        Measurement measurement = Measurement.fromHistogram(served, 7, 2, 1, 2);
        assertEquals(1009, measurement.requests());
        assertEquals(900, measurement.slow());
        assertEquals(500, measurement.p50Ns() / 1e6, 0.6);
        assertEquals(990, measurement.p99Ns() / 1e6, 1.1);
        assertEquals(999, measurement.p999Ns() / 1e6, 1.1);
        assertEquals(1000, measurement.maxNs() / 1e6, 1.1);
        assertEquals(measurement, Measurement.parse(measurement.format()));
    }

    @Test
    public void summaryContainsMediansAndSums() {
        assertEquals(3, Summary.median(9, 1, 3), 0);
        assertEquals(2.5, Summary.median(4, 1, 3, 2), 0);
        assertEquals(
                "64 connections: median p99 node 20.00 ms, proxy 8.00 ms, ratio 2.50; refused node 3, "
                        + "proxy 0; slow, refused or failed node 2.000%, proxy 0.000%",
                Summary.format(
                        64,
                        List.of(
                                measurement(199, 0, 1, 20),
                                measurement(98, 3, 2, 300),
                                measurement(100, 2, 0, 2)),
                        List.of(measurement(100, 0, 0, 8))));
    }

    @Test
    public void cpuTimeIsParsedFromProc() {
        assertEquals(
                3.75,
                CpuTime.parseProcessSeconds("41 (a) b (c)) S 1 2 3 4 5 6 7 8 9 10 250 125 7 8 0"),
                1e-9);
        String cores =
                "cpu  9 9 9 9 9 9 9 9 0 0\n"
                        + "cpu1 7 7 7 7 7 7 7 7 0 0\ncpu11 100 1 50 9000 900 10 20 19 5 5\n";
        assertEquals(2, CpuTime.parseCoreSeconds(cores, 11), 1e-9);
        assertEquals(Double.NaN, CpuTime.parseCoreSeconds(cores, 2), 0);
    }

    @Test
    public void nodeHasDeployedCommandAndProxyItsJvmOptions() {
        String toml =
                "build = \"mvn\"\n"
                        + "run = \"exec java -Xmx80m -XX:SharedArchiveFile=t.jsa -jar t.jar serve\"\n"
                        + "sim = \"exec java -jar t.jar adapter\"\n";
        assertEquals(
                List.of("java", "-Xmx80m", "-XX:SharedArchiveFile=t.jsa", "-jar", "t.jar", "serve"),
                NodeCommand.parse(toml));
        assertEquals(
                List.of("java", "-Xmx80m", "-cp", "c", "Main", "x"),
                NodeCommand.forProgram(toml, "c", "Main", "x"));
    }

    @Test
    public void argumentsHaveDefaultsAndRejectUnknownOptions() {
        Arguments arguments = new Arguments(Map.of("a", "1", "b", "2,3"), "--a", "7");
        assertEquals(7, arguments.integer("a"));
        assertEquals(3, arguments.integers("b")[1]);
        assertThrows(
                IllegalArgumentException.class, () -> new Arguments(Map.of("a", "1"), "--c", "1"));
        assertThrows(IllegalArgumentException.class, () -> new Arguments(Map.of("a", "1"), "--a"));
    }
}
