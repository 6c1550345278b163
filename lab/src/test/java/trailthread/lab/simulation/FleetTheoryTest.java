package trailthread.lab.simulation;

import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;
import trailthread.lab.baseline.Policies;
import trailthread.lab.metrics.RunMetrics;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.scenario.ScenarioReader;

/** Known results on fleets hold in the simulation. */
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

    /** With two choices the longest queue is much shorter than with one (Mitzenmacher 2001). */
    @Test
    public void twoChoicesKeepTheLongestQueueShort() throws Exception {
        Scenario scenario = scenario(100, 9000, "");
        int random = longestQueue(Simulation.run(scenario, Policies.byName("random"), 1).metrics());
        int twoChoices =
                longestQueue(Simulation.run(scenario, Policies.byName("two-choices"), 1).metrics());
        assertTrue(
                twoChoices + " with two choices, " + random + " at random",
                3 * twoChoices < random);
    }

    private static int longestQueue(RunMetrics metrics) {
        int most = 0;
        for (RunMetrics.SecondMetrics second : metrics.seconds()) {
            for (int inflight : second.inflight()) {
                most = Math.max(most, inflight);
            }
        }
        return most;
    }

    /**
     * Without the correction the queues of two servers oscillate with the load reports; with it
     * they do not (Chawathe and Brewer 1998, 4.3).
     */
    @Test
    public void correctionDampsTheOscillationBetweenTwoServers() throws Exception {
        Scenario scenario = scenario(2, 170, "report_every = \"2s\"");
        double with =
                meanQueueDifference(Simulation.run(scenario, Policies.byName("sns"), 1).metrics());
        double without =
                meanQueueDifference(
                        Simulation.run(scenario, Policies.byName("sns-uncorrected"), 1).metrics());
        assertTrue(without + " without, " + with + " with", 2 * with < without);
    }

    private static double meanQueueDifference(RunMetrics metrics) {
        return metrics.seconds().stream()
                .map(RunMetrics.SecondMetrics::inflight)
                .filter(inflight -> inflight.length == 2)
                .mapToInt(inflight -> Math.abs(inflight[0] - inflight[1]))
                .average()
                .orElseThrow();
    }

    /** A policy that sees the true state has a lower mean latency than those that do not. */
    @Test
    public void oracleHasTheLowestMeanLatency() throws Exception {
        Scenario scenario = scenario(10, 800, "speed = [0.6, 1.4]");
        double oracle = meanLatencyUs(scenario, "oracle");
        for (String other :
                List.of("random", "round-robin", "least-outstanding", "two-choices", "sns")) {
            assertTrue(other, oracle < meanLatencyUs(scenario, other));
        }
    }

    private static double meanLatencyUs(Scenario scenario, String policy) {
        return Simulation.run(scenario, Policies.byName(policy), 4).metrics().latencyUs().getMean();
    }
}
