package trailthread.lab.experiment;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import org.apache.commons.rng.UniformRandomProvider;
import org.junit.Test;
import trailthread.lab.random.RandomStreams;

/** Differences that are there are told, and those that are not, not more often than they may. */
public class BootstrapTest {
    private static double[] drawn(UniformRandomProvider random, int count, double mean) {
        double[] all = new double[count];
        for (int i = 0; i < count; i++) {
            all[i] = mean + random.nextDouble() - 0.5;
        }
        return all;
    }

    @Test
    public void aDifferenceIsTold() {
        Bootstrap b = Bootstrap.of(new double[] {0.1, 0.2, 0.15, 0.12, 0.3, 0.05});
        assertEquals(0.153333, b.mean(), 1e-6);
        assertTrue(
                b.toString(),
                b.low() > 0.05 && b.low() < b.mean() && b.mean() < b.high() && b.high() < 0.3);
        assertEquals(Bootstrap.Verdict.BETTER, b.verdict());
        assertEquals(
                Bootstrap.Verdict.WORSE, Bootstrap.of(new double[] {-1, -2, -1, -2, -1}).verdict());
        assertEquals(
                Bootstrap.Verdict.NOT_TOLD_APART,
                Bootstrap.of(new double[] {-1, 2, -1, 2, -1}).verdict());
    }

    @Test
    public void tooFewPairsTellNothing() {
        assertEquals(
                Bootstrap.Verdict.NOT_TOLD_APART,
                Bootstrap.of(new double[] {1, 1, 1, 1}).verdict());
        assertThrows(IllegalArgumentException.class, () -> Bootstrap.of(new double[0]));
    }

    /**
     * Of 400 experiments without a difference, about one in twenty finds one; with 20 pairs a few
     * more.
     */
    @Test
    public void theIntervalHoldsWhatItSays() {
        UniformRandomProvider random = new RandomStreams(9).stream("test");
        int wrong = 0;
        for (int i = 0; i < 400; i++) {
            wrong +=
                    Bootstrap.of(drawn(random, 20, 0)).verdict() == Bootstrap.Verdict.NOT_TOLD_APART
                            ? 0
                            : 1;
        }
        assertTrue("wrong " + wrong, wrong >= 8 && wrong <= 40);
    }
}
