package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.ModuleFixture.MS;
import static trailthread.ModuleFixture.NOW;
import static trailthread.ModuleFixture.entry;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReportSource;

/** Which endpoints are checked in turn, and how often. */
final class HealthCheckerTest {
    private final ModuleFixture modules = new ModuleFixture();
    private final EndpointList list = new EndpointList(modules.slowStart);
    private final HealthChecker checker =
            new HealthChecker(
                    modules.active,
                    modules.means,
                    list,
                    modules.slowStart,
                    modules.recorder,
                    modules.random);

    @BeforeEach
    void configureChecks() {
        modules.settings.mayCheckHealth = true;
        modules.settings.reports = LoadReportSource.HEALTH_CHECKS;
    }

    private void list(EndpointEntry... entries) {
        list.update(ListKind.FULL, List.of(entries), NOW);
    }

    private List<String> checked() {
        return modules.recorder
                .transcript
                .toString()
                .lines()
                .filter(line -> line.startsWith("probe "))
                .map(line -> line.substring("probe ".length()))
                .toList();
    }

    private void assertDelay(double least, double most) {
        double delay = modules.lastDelayNs();
        assertTrue(delay >= least && delay <= most, "" + delay);
    }

    @Test
    void eachWarmEndpointIsCheckedOnceInFourObjectives() {
        list(
                ScriptedBalancer.ready("a"),
                entry("warming", EndpointState.READY, NOW - MS),
                entry("draining", EndpointState.DRAINING, 0),
                ScriptedBalancer.ready("b"));
        checker.startIfConfigured(NOW);
        for (int turn = 1; turn < 8; turn++) {
            assertDelay(0.8 * 200 * MS, 1.2 * 200 * MS);
            checker.checkNext(NOW);
        }
        assertEquals(List.of("a", "b", "a", "b"), checked());
    }

    @Test
    void checksBeginOnceAndOnlyWhereReportsComeWithThem() {
        list(ScriptedBalancer.ready("a"));
        modules.settings.reports = LoadReportSource.NONE;
        checker.startIfConfigured(NOW);
        modules.settings.reports = LoadReportSource.HEALTH_CHECKS;
        modules.settings.mayCheckHealth = false;
        checker.startIfConfigured(NOW);
        assertEquals(0, modules.recorder.timers.size());
        modules.settings.mayCheckHealth = true;
        checker.startIfConfigured(NOW);
        checker.startIfConfigured(NOW);
        assertEquals(1, modules.recorder.timers.size());
        assertEquals(List.of("a"), checked());
    }

    @Test
    void timerIsNeverShorterThanATickAndGoesOnWithAnEmptyList() {
        checker.startIfConfigured(NOW);
        assertDelay(0.8 * 800 * MS, 1.2 * 800 * MS);
        List<EndpointEntry> many = new ArrayList<>();
        for (int i = 0; i < 8000; i++) {
            many.add(ScriptedBalancer.ready("e" + i));
        }
        list.update(ListKind.FULL, many, NOW);
        checker.checkNext(NOW);
        assertDelay(0.8 * MS, 1.2 * MS);
    }
}
