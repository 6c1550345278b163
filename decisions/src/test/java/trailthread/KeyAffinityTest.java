package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static trailthread.WiredModules.NOW;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Settings;
import trailthread.api.WeightMeaning;

/** The home of a key: weighted rendezvous hashing with bounded loads. */
class KeyAffinityTest {
    private final WiredModules modules = new WiredModules();
    private final List<Endpoint> three =
            List.of(
                    WiredModules.endpoint("a", 0),
                    WiredModules.endpoint("b", 0),
                    WiredModules.endpoint("c", 0));
    private final KeyAffinity affinity = new KeyAffinity(modules.settings, new RandomSource(1));

    private static Candidates open(int endpoints) {
        Candidates candidates = new Candidates();
        candidates.reset(endpoints);
        for (int i = 0; i < endpoints; i++) {
            candidates.open(i, 1);
        }
        return candidates;
    }

    @Test
    void anEndpointThatClosesMovesOnlyItsOwnKeys() {
        Candidates withoutFirst = new Candidates();
        withoutFirst.reset(3);
        withoutFirst.open(1, 1);
        withoutFirst.open(2, 1);
        for (long key = 1; key <= 50; key++) {
            int home = affinity.findHome(key, three, open(3));
            int later = affinity.findHome(key, three, withoutFirst);
            if (home == 0) {
                assertNotEquals(0, later);
            } else {
                assertEquals(home, later, "key " + key);
            }
        }
        Candidates none = new Candidates();
        none.reset(3);
        assertEquals(KeyAffinity.NONE, affinity.findHome(1, three, none));
    }

    /** Two endpoints, one with n of n requests in flight: its bound is 1.5 * (n + 1) / 2. */
    @Test
    void anEndpointOverItsLoadBoundIsPassedOver() {
        List<Endpoint> two = three.subList(0, 2);
        int home = affinity.findHome(7, two, open(2));
        for (int n = 1; n <= 3; n++) {
            modules.attempt(modules.request("safe"), two.get(home), null, NOW);
            int expected = n < 3 ? home : 1 - home;
            assertEquals(expected, affinity.findHome(7, two, open(2)), n + " in flight");
        }
    }

    @Test
    void anEndpointIsHomeToKeysInProportionToItsNominalWeight() {
        Settings weighted = ScriptedBalancer.settings();
        weighted.weights = WeightMeaning.NOMINAL;
        KeyAffinity byWeight = new KeyAffinity(new ActiveSettings(weighted), new RandomSource(1));
        EndpointEntry large = new EndpointEntry("d", 3, EndpointState.READY, "here", 0, 0);
        List<Endpoint> two = List.of(three.get(0), WiredModules.endpoint(large));
        int toLarge = 0;
        for (long key = 1; key <= 4_000; key++) {
            toLarge += byWeight.findHome(key, two, open(2));
        }
        assertEquals(0.75, toLarge / 4_000.0, 0.0274); // four standard deviations
    }

    /**
     * If all n requests are for one key, (1 - 1 / sqrt(n)) * 6 / 1.5, rounded up, is 4 from n = 101
     * to 140.
     */
    @Test
    void aPopularKeyCountsAsSeveralAndARareOneAsItself() {
        for (int i = 0; i < 100; i++) {
            affinity.spreadKey(42, 6);
        }
        Set<Long> parts = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            parts.add(affinity.spreadKey(42, 6));
        }
        assertEquals(4, parts.size());
        assertEquals(43, affinity.spreadKey(43, 6));
    }
}
