package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Against the published outputs of splitmix64. */
class HashMixerTest {
    /** The generator adds this to its state for each output; the seed is 0. */
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

    @Test
    void mixIsTheFinaliserOfSplitmix64() {
        long[] outputs = {0xe220a8397b1dcdafL, 0x6e789e6aa1b965f4L, 0x06c45d188009454fL};
        long state = 0;
        for (long output : outputs) {
            state += GOLDEN_GAMMA;
            assertEquals(output, HashMixer.mix(state));
        }
    }

    /** The least value is that of a mixed 0; its logarithm must be finite. */
    @Test
    void uniformHashesAreUniformAndNeverZeroOrOne() {
        assertTrue(HashMixer.uniform(0) > 0);
        double sum = 0;
        for (int i = 0; i < 10_000; i++) {
            double unit = HashMixer.uniform(i);
            assertTrue(unit > 0 && unit < 1);
            sum += unit;
        }
        assertEquals(0.5, sum / 10_000, 0.0116); // four standard deviations
    }

    @Test
    void theHashOfATextDependsOnTheOrderAndNumberOfItsCharacters() {
        assertNotEquals(HashMixer.hash("ab"), HashMixer.hash("ba"));
        assertNotEquals(HashMixer.hash(""), HashMixer.hash("\0"));
    }
}
