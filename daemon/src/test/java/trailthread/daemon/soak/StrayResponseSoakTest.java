package trailthread.daemon.soak;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.Test;

/**
 * Stray responses after whole ones break no rule. {@code make soak-responses SEEDS=from-to} runs
 * other seeds than that of every build.
 */
public class StrayResponseSoakTest {
    private static final String SEEDS = System.getProperty("soak.seeds", "1-1");

    private final List<String> evidence = new ArrayList<>();

    /** Guards against a response that is taken for another request's. */
    @Test
    public void noStrayResponseIsTakenForAnotherRequests() throws Exception {
        String[] range = SEEDS.split("-");
        for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
            for (StrayResponseScenario scenario : scenarios()) {
                run(scenario, seed);
            }
        }
        assertEquals(List.of(), evidence);
    }

    private static List<StrayResponseScenario> scenarios() {
        return Boolean.getBoolean("soak.open")
                ? StrayResponseScenario.OPEN
                : StrayResponseScenario.ALL;
    }

    private void run(StrayResponseScenario scenario, long seed) throws Exception {
        StrayResponseRun.Result result = StrayResponseRun.run(scenario, seed);
        Map<PairingRule, Integer> counts = new EnumMap<>(PairingRule.class);
        for (StrayResponseRun.Violation violation : result.violations()) {
            counts.merge(violation.rule(), 1, Integer::sum);
            evidence.add(scenario + ", seed " + seed + ": " + violation);
        }
        System.out.printf(
                "seed %d, %s: %d requests, %d served; violations: %s%n",
                seed, scenario, result.requests(), result.served(), counts);
        if (!result.violations().isEmpty()) {
            result.log().forEach(line -> System.out.println("  | " + line));
        }
        assertTrue("most requests are served", result.served() > result.requests() / 2);
    }
}
