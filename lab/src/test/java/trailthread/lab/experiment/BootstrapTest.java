package trailthread.lab.experiment;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import org.apache.commons.rng.UniformRandomProvider;
import org.junit.Test;
import trailthread.lab.random.RandomStreams;

/**
 * Bootstrap finds real differences; where there is none, it finds one no more often than its
 * confidence level allows.
 */
public class BootstrapTest {
    private static double[] randomDifferences(
            UniformRandomProvider random, int count, double mean) {
        double[] differences = new double[count];
        for (int i = 0; i < count; i++) {
            differences[i] = mean + random.nextDouble() - 0.5;
        }
        return differences;
    }

    @Test
    public void realDifferenceIsFound() {
        Bootstrap bootstrap = Bootstrap.of(new double[] {0.1, 0.2, 0.15, 0.12, 0.3, 0.05});
        assertEquals(0.153333, bootstrap.mean(), 1e-6);
        assertTrue(
                bootstrap.toString(),
                bootstrap.low() > 0.05
                        && bootstrap.low() < bootstrap.mean()
                        && bootstrap.mean() < bootstrap.high()
                        && bootstrap.high() < 0.3);
        assertEquals(Bootstrap.Verdict.BETTER, bootstrap.verdict());
        assertEquals(
                Bootstrap.Verdict.WORSE, Bootstrap.of(new double[] {-1, -2, -1, -2, -1}).verdict());
        assertEquals(
                Bootstrap.Verdict.INDISTINGUISHABLE,
                Bootstrap.of(new double[] {-1, 2, -1, 2, -1}).verdict());
    }

    @Test
    public void fewerThanFivePairsAreIndistinguishable() {
        assertEquals(
                Bootstrap.Verdict.INDISTINGUISHABLE,
                Bootstrap.of(new double[] {1, 1, 1, 1}).verdict());
        assertThrows(IllegalArgumentException.class, () -> Bootstrap.of(new double[0]));
    }

    /**
     * Of 400 experiments without a difference, about one in twenty finds one; slightly more because
     * each has only 20 pairs.
     */
    @Test
    public void falsePositivesMatchTheConfidenceLevel() {
        UniformRandomProvider random = new RandomStreams(9).stream("test");
        int falsePositives = 0;
        for (int i = 0; i < 400; i++) {
            falsePositives +=
                    Bootstrap.of(randomDifferences(random, 20, 0)).verdict()
                                    == Bootstrap.Verdict.INDISTINGUISHABLE
                            ? 0
                            : 1;
        }
        assertTrue(
                "false positives " + falsePositives, falsePositives >= 8 && falsePositives <= 40);
    }
}
