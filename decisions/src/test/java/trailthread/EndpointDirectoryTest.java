package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.ModuleFixture.MS;
import static trailthread.ModuleFixture.NOW;
import static trailthread.ModuleFixture.SECOND;
import static trailthread.ModuleFixture.entry;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReportSource;

/** The effects of a list event on the subset, the limits, polls and log lines. */
final class EndpointDirectoryTest {
    private final ModuleFixture modules = new ModuleFixture();
    private final EndpointDirectory directory =
            new EndpointDirectory(
                    modules.active,
                    modules.means,
                    modules.subset,
                    modules.estimator,
                    modules.slowStart,
                    modules.limiter,
                    modules.random,
                    modules.recorder,
                    modules.log);

    private void list(int endpoints) {
        List<EndpointEntry> entries =
                IntStream.range(0, endpoints)
                        .mapToObj(i -> ScriptedBalancer.ready("e" + i))
                        .toList();
        directory.update(ListKind.FULL, entries, NOW);
    }

    @Test
    void failedListKeepsTheLastAndIsLoggedOnceInADeadline() {
        list(2);
        directory.listFailed(NOW);
        directory.listFailed(NOW + 999 * MS);
        assertEquals(2, directory.all().size());
        assertEquals(2, modules.subset.size());
        assertEquals(
                List.of("list call failed: going on with the last list of 2"),
                modules.recorder.log);
        assertEquals(2, modules.recorder.timers.size());
        directory.listFailed(NOW + SECOND);
        assertEquals(2, modules.recorder.log.size());
    }

    @Test
    void subsetFollowsTheListAndNewEndpointsMayBeSentToAtOnce() {
        list(2);
        directory.update(
                ListKind.DELTA,
                List.of(entry("e0", EndpointState.GONE, 0), ScriptedBalancer.ready("new")),
                NOW);
        assertEquals(
                List.of(directory.get("e1"), directory.get("new")), modules.subset.endpoints());
        // The initial limits of all nodes add up to four, and this node is the only one.
        assertEquals(4, modules.limiter.capacity(directory.get("new"), 1));
        modules.begin(directory.get("e1"), NOW);
        assertTrue(modules.limiter.isOpen(directory.get("new"), 4, NOW));
    }

    @Test
    void cachedListIsPolledForAndHealthChecksBegin() {
        modules.settings.listIsPolled = true;
        modules.settings.mayCheckHealth = true;
        modules.settings.reports = LoadReportSource.HEALTH_CHECKS;
        directory.update(ListKind.CACHED, List.of(ScriptedBalancer.ready("a")), NOW);
        List<TimerKind> timers =
                modules.recorder.timers.stream().map(timer -> TimerKind.of(timer.token())).toList();
        assertEquals(List.of(TimerKind.LIST_POLL, TimerKind.HEALTH_CHECK), timers);
    }

    @Test
    void subsetIsSelectedAgainOnlyOnceDue() {
        modules.settings.nodes = 1000;
        modules.settings.connectionPrice = 0.6;
        list(100);
        modules.recordFailures(modules.subset.endpoints().get(0), 3, NOW);
        directory.refreshSubset(NOW + 799 * MS);
        assertEquals(3, modules.subset.size());
        directory.refreshSubset(NOW + 1200 * MS);
        assertEquals(4, modules.subset.size());
        Endpoint added = modules.subset.endpoints().get(3);
        assertTrue(modules.limiter.capacity(added, 1) > 0);
    }
}
