package trailthread.daemon.soak;

import static org.junit.Assert.assertTrue;

import org.junit.Test;

/**
 * A graceful shutdown loses no request, whatever signals, slow servers, crowds of clients and CPU
 * load there are. {@code make soak SEEDS=from-to} runs other seeds than the few of every build.
 */
public class ShutdownSoakTest {
    private static final String SEEDS = System.getProperty("soak.seeds", "1-12");

    /** Seeds whose runs broke rules while other processes kept the machine busy. */
    private static final long[] SEEDS_BROKEN_UNDER_LOAD = {41, 180, 403, 458, 703};

    private final ShutdownSoak soak = new ShutdownSoak(System.out);

    @Test
    public void nothingIsLostUnderAnySeed() throws Exception {
        String[] range = SEEDS.split("-");
        for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
            soak.run(Scenario.of(seed));
        }
        assertPassed();
    }

    /** Guards against responses that are late or missing on an overloaded machine. */
    @Test
    public void nothingIsLostUnderSeedsThatBrokeBesideHeavyLoad() throws Exception {
        for (long seed : SEEDS_BROKEN_UNDER_LOAD) {
            soak.run(Scenario.of(seed));
        }
        assertPassed();
    }

    private void assertPassed() {
        System.out.println(soak.summary());
        assertTrue(soak.summary(), soak.passed());
    }
}
