package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static trailthread.ModuleFixture.MS;
import static trailthread.ModuleFixture.NOW;
import static trailthread.ModuleFixture.entry;

import java.util.List;
import org.junit.jupiter.api.Test;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;

/** How list events change the endpoint list. */
final class EndpointListTest {
    private final EndpointList list = new EndpointList(new ModuleFixture().slowStart);

    private void update(ListKind kind, String... names) {
        list.update(kind, List.of(names).stream().map(ScriptedBalancer::ready).toList(), NOW);
    }

    private void delta(String name, EndpointState state, long startedAtNs) {
        list.update(ListKind.DELTA, List.of(entry(name, state, startedAtNs)), NOW);
    }

    private List<String> names() {
        return list.all().stream().map(endpoint -> endpoint.name).toList();
    }

    @Test
    void completeListRemovesMissingEndpointsAndDeltaDoesNot() {
        update(ListKind.FULL, "a", "b", "c");
        Endpoint kept = list.get("a");
        update(ListKind.FULL, "c", "a");
        assertEquals(List.of("a", "c"), names());
        assertSame(kept, list.get("a"));
        update(ListKind.DELTA, "d");
        assertEquals(List.of("a", "c", "d"), names());
        update(ListKind.CACHED, "d");
        assertEquals(List.of("d"), names());
    }

    @Test
    void restartedEndpointKeepsItsPlaceButNotItsStatistics() {
        update(ListKind.FULL, "a", "b");
        Endpoint before = list.get("a");
        before.latency.record(50 * MS, 0, 200 * MS, 300e9, NOW);
        delta("a", EndpointState.READY, NOW - MS);
        assertEquals(List.of("a", "b"), names());
        assertNotSame(before, list.get("a"));
        assertSame(list.all().get(0), list.get("a"));
        assertEquals(0, list.get("a").latency.responses());
    }

    @Test
    void drainingEndpointStaysListedAsTheSameAndIsNotReady() {
        update(ListKind.FULL, "a");
        Endpoint before = list.get("a");
        delta("a", EndpointState.DRAINING, NOW - MS);
        assertSame(before, list.get("a"));
        assertEquals(List.of("a"), names());
        assertFalse(before.isReady());
    }

    @Test
    void removedEndpointIsForgottenAndAnUnknownOneIsNotListed() {
        update(ListKind.FULL, "a", "b");
        delta("a", EndpointState.GONE, 0);
        delta("never listed", EndpointState.GONE, 0);
        assertEquals(List.of("b"), names());
        assertNull(list.get("a"));
        assertNull(list.get("never listed"));
    }
}
