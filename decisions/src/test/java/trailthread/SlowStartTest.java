package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.ModuleFixture.MS;
import static trailthread.ModuleFixture.NOW;
import static trailthread.ModuleFixture.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import trailthread.api.EndpointState;

/** By default, capacity grows from 0.1 to 1 in 30 s, and the overload window is 1 s. */
final class SlowStartTest {
    private ModuleFixture modules = new ModuleFixture();
    private final Endpoint warm = ModuleFixture.endpoint("warm");
    private final Endpoint starting = ModuleFixture.startedAt("starting", NOW);

    private boolean permits(long now) {
        modules.slowStart.refill(now);
        return modules.slowStart.permits(starting, now);
    }

    @Test
    void capacityGrowsLinearlyFromTheInitialShareOverTheSlowStartTime() {
        assertEquals(0.1, modules.slowStart.capacityShare(starting, NOW));
        assertEquals(0.55, modules.slowStart.capacityShare(starting, NOW + 15 * SECOND), 1e-9);
        assertEquals(1, modules.slowStart.capacityShare(starting, NOW + 30 * SECOND));
        assertEquals(1, modules.slowStart.capacityShare(warm, NOW));
        // As clocks differ, the endpoint may seem to start in the future.
        assertEquals(0.1, modules.slowStart.capacityShare(starting, NOW - SECOND));
    }

    /** Eight nodes share the endpoint: one request in 8 * 200 ms from each. */
    @Test
    void nodesTogetherSendAStartingEndpointOneRequestInAnObjective() {
        modules.subset.replace(List.of(warm, starting), 8);
        assertTrue(permits(NOW));
        modules.slowStart.takeToken(starting, NOW);
        modules.slowStart.takeToken(warm, NOW);
        assertFalse(permits(NOW + 1599 * MS));
        assertTrue(modules.slowStart.permits(warm, NOW + 1599 * MS));
        assertTrue(permits(NOW + 1601 * MS));
        // However long it fills, the bucket holds one token for the one starting endpoint.
        assertTrue(permits(NOW + 10 * SECOND));
        modules.slowStart.takeToken(starting, NOW + 10 * SECOND);
        assertFalse(permits(NOW + 10 * SECOND));
    }

    /**
     * 110 responses in 1 s from a capacity of 1.1: 100 a second from a warm endpoint and 10 from
     * one with a tenth of its capacity. Of these 10, half is used, multiplied by the overload
     * multiple of 2. In 100 ms, that makes 0.93 tokens, as the count of responses decays by e^-0.1
     * and the capacity share grows by 3 percent; 20 ms later, 1.1 tokens.
     */
    @Test
    void busyNodeSendsStartingEndpointsHalfOfTheirEstimatedCapacity() {
        modules.subset.replace(List.of(warm, starting), 100);
        assertTrue(permits(NOW));
        modules.slowStart.takeToken(starting, NOW);
        for (int i = 0; i < 110; i++) {
            modules.slowStart.recordServed(NOW);
        }
        assertFalse(permits(NOW + 100 * MS));
        assertTrue(permits(NOW + 120 * MS));
    }

    /** After a hundred objectives, 100 of 1000 nodes may have sent one request (sd 9.5). */
    @Test
    void nodesThatLearnOfAnEndpointTogetherDoNotSendTogether() {
        int permitted = 0;
        for (int node = 0; node < 1000; node++) {
            modules = new ModuleFixture(node);
            modules.slowStart.refill(NOW);
            modules.slowStart.endpointAnnounced(
                    ModuleFixture.entry("starting", EndpointState.READY, NOW), NOW);
            long longAgo = NOW - 30 * SECOND; // the endpoint is warm by now, so it adds no token
            modules.slowStart.endpointAnnounced(
                    ModuleFixture.entry("warm", EndpointState.READY, longAgo), NOW);
            modules.subset.replace(List.of(starting), 1000);
            assertFalse(permits(NOW));
            permitted += permits(NOW + 100 * 200 * MS) ? 1 : 0;
        }
        assertTrue(permitted > 60 && permitted < 140, "" + permitted);
    }
}
