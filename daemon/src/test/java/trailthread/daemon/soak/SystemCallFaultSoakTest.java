package trailthread.daemon.soak;

import static org.junit.Assert.assertTrue;

import org.junit.Test;

/**
 * No request is lost while system calls of the program fail, in service and through a graceful
 * shutdown. {@code make soak-faults SEEDS=from-to} runs other seeds than the few of every build.
 */
public class SystemCallFaultSoakTest {
    private static final String SEEDS = System.getProperty("soak.seeds", "1-10");

    @Test
    public void nothingIsLostThoughSystemCallsFail() throws Exception {
        ShutdownSoak soak = new ShutdownSoak(System.out);
        String[] range = SEEDS.split("-");
        for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
            soak.run(Scenario.withSystemCallFaults(seed));
        }
        System.out.println(soak.summary());
        assertTrue(soak.summary(), soak.passed());
    }
}
