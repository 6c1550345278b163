package trailthread.engine.loop;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** Durations as the protocol writes them. */
public class SecondsTest {
    @Test
    public void parsesDurations() {
        Object[][] cases = {
            {"0.480", 480_000_000L},
            {"0", 0L},
            {"1.2", 1_200_000_000L},
            {"3600", 3_600_000_000_000L},
            {".5", 500_000_000L},
            {"0.000000001", 1L},
            {"", -1L},
            {"-1", -1L},
            {"1e3", -1L},
            {"NaN", -1L},
            {"Infinity", -1L},
            {"0x1p3", -1L},
            {"1.2.3", -1L},
            {".", -1L},
            {" 1", -1L},
            {"3601", -1L},
            {"1d", -1L},
            {"0.000000000000000000001", -1L},
        };
        for (Object[] c : cases) {
            assertEquals((String) c[0], c[1], Seconds.parse((String) c[0]));
        }
    }

    @Test
    public void formatsDurations() {
        Object[][] cases = {
            {0L, "0.000"},
            {-5L, "0.000"},
            {999_999L, "0.000"},
            {1_000_000L, "0.001"},
            {45_000_000L, "0.045"},
            {480_900_000L, "0.480"},
            {1_200_000_000L, "1.200"},
            {61_000_000_000L, "61.000"},
        };
        for (Object[] c : cases) {
            assertEquals(c[1], Seconds.format((Long) c[0]));
        }
    }
}
