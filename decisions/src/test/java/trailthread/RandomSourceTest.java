package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.WiredModules.MS;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Random numbers are reproducible from their seed, and differ between seeds. */
class RandomSourceTest {
    @Test
    void equalSeedsGiveEqualNumbersAndOtherSeedsOthers() {
        RandomSource first = new RandomSource(7);
        RandomSource same = new RandomSource(7);
        RandomSource other = new RandomSource(8);
        double number = first.uniform();
        assertEquals(number, same.uniform());
        assertNotEquals(number, other.uniform());
        assertEquals(first.jittered(MS), same.jittered(MS));
    }

    @Test
    void aJitteredDelayIsUpToAFifthShorterOrLonger() {
        RandomSource random = new RandomSource(7);
        long[] delays = LongStream.range(0, 1_000).map(i -> random.jittered(100 * MS)).toArray();
        long least = LongStream.of(delays).min().orElseThrow();
        long most = LongStream.of(delays).max().orElseThrow();
        assertTrue(least >= 80 * MS && least < 81 * MS, "least " + least);
        assertTrue(most <= 120 * MS && most > 119 * MS, "most " + most);
    }
}
