package trailthread.lab.scenario;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/** The reader applies defaults and reports each error in a scenario with its position. */
public class ScenarioReaderTest {
    private static final String GOOD =
            """
            name = "x"
            length = "10s"
            [clients]
            per_second = 100
            [[classes]]
            name = "c"
            work = ["1ms", "3ms"]
            aim = "10ms"
            deadline = "1s"
            [fleet]
            workers = 4
            """;

    @Test
    public void validScenarioGetsDefaults() throws Exception {
        Scenario scenario = ScenarioReader.parse("f", GOOD);
        assertEquals(10_000_000_000L, scenario.durationNs());
        assertEquals(2e6, scenario.classes().get(0).meanWorkNs(), 0);
        assertEquals(Scenario.WorkDistribution.UNIFORM, scenario.classes().get(0).distribution());
        assertEquals(100 * 2e6 / 4e9, scenario.offeredLoad(), 1e-9);
        assertEquals(1, scenario.nodes());
    }

    private static void assertErrors(String text, String... expected) {
        ScenarioReader.InvalidScenarioException e =
                assertThrows(
                        ScenarioReader.InvalidScenarioException.class,
                        () -> ScenarioReader.parse("f", text));
        assertEquals(List.of(expected), e.errors().stream().map(Object::toString).toList());
    }

    @Test
    public void errorsAreReportedWithTheirPositions() {
        assertErrors(
                GOOD + "spede = 2\n",
                "f:12:1: fleet.spede: expected a key that is known, such as speed, found 2");
        assertErrors(
                GOOD.replace("\"10ms\"", "10"),
                "f:8:1: classes[0].aim: expected a duration with its unit, such as 250ms, found 10");
        assertErrors(
                GOOD.replace("\"1ms\", \"3ms\"", "\"3ms\", \"1ms\""),
                "f:7:1: classes[0].work: expected the lesser value first, found a list");
        assertErrors(
                GOOD.replace("workers = 4", "workers = 0"),
                "f:11:1: fleet.workers: expected a whole number from 1 to 100000, found 0");
        assertErrors(
                GOOD.replace("name = \"x\"\n", ""), "f:1:1: name: expected a text, found nothing");
        assertErrors(
                GOOD + "[[faults]]\ntrouble = \"gremlins\"\nat = \"1s\"\n",
                "f:13:1: faults[0].trouble: expected one of fast_errors, lost_answers, resets, garbage, "
                        + "stray_responses, greetings, drips, slow, "
                        + "late_reports, heavy_tail, cut, zone_cut, restart, replace, cold_fleet, roster_down, "
                        + "node_kill, node_restart, node_reload, node_pause, found gremlins");
        assertErrors(
                GOOD + "[[faults]]\ntrouble = \"zone_cut\"\nat = \"1s\"\nzone = \"q\"\n",
                "f:15:1: faults[0].zone: expected one of a, found q");
    }

    @Test
    public void invalidTomlIsReportedWithItsLine() {
        ScenarioReader.InvalidScenarioException e =
                assertThrows(
                        ScenarioReader.InvalidScenarioException.class,
                        () -> ScenarioReader.parse("f", "name = \n"));
        assertTrue(e.getMessage(), e.getMessage().startsWith("f:1:"));
    }
}
