package trailthread.lab.simulation;

import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;
import trailthread.lab.baseline.Policies;
import trailthread.lab.metrics.RunMetrics;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.scenario.ScenarioReader;

/** What is known of whole fleets shows in the model. */
public class FleetTheoryTest {
    private static Scenario scenario(int servers, double perSecond, String fleet) throws Exception {
        return ScenarioReader.parse(
                "test",
                """
                name = "test"
                length = "60s"
                [clients]
                per_second = %s
                [[classes]]
                name = "c"
                work = "10ms"
                draw = "exponential"
                aim = "1s"
                deadline = "30s"
                [network]
                near = "100us"
                jitter = 0.0
                connections = 100000
                [fleet]
                workers = %d
                slots = 1
                %s
                """
                        .formatted(perSecond, servers, fleet));
    }

    /** Two choices against one: the longest line is far shorter (Mitzenmacher 2001). */
    @Test
    public void twoChoicesKeepTheLongestLineShort() throws Exception {
        Scenario scenario = scenario(100, 9000, "");
        int random = longest(Simulation.run(scenario, Policies.byName("random"), 1).metrics());
        int two = longest(Simulation.run(scenario, Policies.byName("two-choices"), 1).metrics());
        assertTrue(two + " of " + random, 3 * two < random);
    }

    private static int longest(RunMetrics metrics) {
        int most = 0;
        for (RunMetrics.SecondMetrics second : metrics.seconds()) {
            for (int held : second.inflight()) {
                most = Math.max(most, held);
            }
        }
        return most;
    }

    /**
     * Without the correction, queues of two servers swing with the reports; with it they do not
     * (the paper, 4.3).
     */
    @Test
    public void theCorrectionDampsTheSwingOfTwoServers() throws Exception {
        Scenario scenario = scenario(2, 170, "report_every = \"2s\"");
        double with = swing(Simulation.run(scenario, Policies.byName("sns"), 1).metrics());
        double without =
                swing(Simulation.run(scenario, Policies.byName("sns-uncorrected"), 1).metrics());
        assertTrue(without + " without, " + with + " with", 2 * with < without);
    }

    private static double swing(RunMetrics metrics) {
        return metrics.seconds().stream()
                .map(RunMetrics.SecondMetrics::inflight)
                .filter(held -> held.length == 2)
                .mapToInt(held -> Math.abs(held[0] - held[1]))
                .average()
                .orElseThrow();
    }

    /** Who sees the true state is no worse than who draws blindly. */
    @Test
    public void theOracleIsBestOfAll() throws Exception {
        Scenario scenario = scenario(10, 800, "speed = [0.6, 1.4]");
        double oracle = mean(scenario, "oracle");
        for (String other :
                List.of("random", "round-robin", "least-outstanding", "two-choices", "sns")) {
            assertTrue(other, oracle < mean(scenario, other));
        }
    }

    private static double mean(Scenario scenario, String policy) {
        return Simulation.run(scenario, Policies.byName(policy), 4).metrics().latencyUs().getMean();
    }
}
