package trailthread.lab.emulation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.scenario.ScenarioReader;

/**
 * Real nodes between emulated clients and servers, while servers send malformed responses, reset
 * connections and restart, and nodes are killed, restarted, reloaded and paused. All timeouts are
 * long, so that a busy machine does not break an invariant.
 */
public class EmulationTest {
    private static final String SCENARIO =
            """
            name = "test"
            length = "14s"
            nodes = 2
            zones = ["a", "b"]
            [clients]
            per_second = 60
            retries = 2
            [[classes]]
            name = "state"
            work = ["5ms", "9ms"]
            share = 0.6
            aim = "10s"
            deadline = "10s"
            [[classes]]
            name = "attempt"
            repeats = "unsafe"
            work = "5ms"
            share = 0.4
            aim = "10s"
            deadline = "10s"
            [fleet]
            workers = 5
            slots = 4
            room = 100
            [list]
            delay = ["10ms", "100ms"]
            [rules]
            answer_slack = "5s"
            drain_grace = "5s"
            [[faults]]
            trouble = "garbage"
            at = "1s"
            for = "3s"
            part = 0.4
            size = 0.3
            [[faults]]
            trouble = "resets"
            at = "2s"
            for = "2s"
            part = 0.4
            size = 0.3
            [[faults]]
            trouble = "node_kill"
            at = "3s"
            for = "1s"
            part = 0.5
            [[faults]]
            trouble = "restart"
            at = "4s"
            for = "6s"
            part = 0.6
            [[faults]]
            trouble = "node_restart"
            at = "7s"
            for = "3s"
            part = 1.0
            [[faults]]
            trouble = "node_reload"
            at = "11s"
            part = 1.0
            [[faults]]
            trouble = "node_pause"
            at = "12s"
            for = "500ms"
            part = 0.5
            """;

    /** The seeds of runs with stray responses, from-to. */
    private static final String SEEDS = System.getProperty("soak.seeds", "1-2");

    @Test
    public void faultsBreakNoInvariantAndMostRequestsAreServed() throws Exception {
        run(ScenarioReader.parse("test", SCENARIO), 7, 0.8);
    }

    /** Guards against a response that is taken for another request's. */
    @Test
    public void strayResponsesBreakNoInvariant() throws Exception {
        Scenario scenario = ScenarioReader.read(Path.of("scenarios", "stray-responses.toml"));
        String[] range = SEEDS.split("-");
        for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
            run(scenario, seed, 0.5);
        }
    }

    private static void run(Scenario scenario, long seed, double minGoodput) throws Exception {
        Path logs = Files.createTempDirectory("lab");
        List<String> command =
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "-Xmx64m",
                        "trailthread.daemon.Main",
                        "serve");
        try (Emulation emulation = new Emulation(scenario, seed, scenario.nodes())) {
            emulation.startNodes(
                    new Emulation.Program(command, Path.of("").toAbsolutePath()), logs);
            emulation.run(true, current -> {});
            assertEquals(
                    "seed " + seed + ": " + emulation.checker().violations(),
                    Map.of(),
                    emulation.checker().violationCounts());
            assertTrue(
                    "checked requests " + emulation.checker().checkedRequests(),
                    emulation.checker().checkedRequests() > 500);
            assertTrue(
                    "goodput " + emulation.metrics().goodput(),
                    emulation.metrics().goodput() > minGoodput);
            assertTrue(
                    "the memory of the nodes is sampled",
                    emulation.nodeUsageBySecond().get(1).rssMb()[0] > 1);
        }
    }
}
