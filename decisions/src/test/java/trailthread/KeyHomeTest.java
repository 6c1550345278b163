package trailthread;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.ScriptedBalancer.MS;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Outcome;
import trailthread.api.Settings;

/** Which endpoints the requests of a key go to, through the balancer as a whole. */
class KeyHomeTest {
    @Test
    void aKeyGoesToItsHomeEndpoint() {
        Settings settings = ScriptedBalancer.settings();
        settings.keyAffinity = true;
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.endpoints("a", "b", "c", "d", "e", "f");
        EndpointChoiceTest.serve(s, 300, 20 * MS, 20 * MS);
        Map<String, Integer> counts = endpointsOfOneKey(s, 20);
        assertTrue(counts.size() <= 3, "a key in: " + counts);
        assertTrue(counts.values().stream().anyMatch(n -> n > 160), "a key in: " + counts);
    }

    /**
     * No node sees what all nodes send to the home of a popular key, but each sees the key's share
     * of the traffic.
     */
    @Test
    void aPopularKeyHasSeveralHomeEndpoints() {
        Settings settings = ScriptedBalancer.settings();
        settings.keyAffinity = true;
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.endpoints("a", "b", "c", "d", "e", "f");
        EndpointChoiceTest.serve(s, 300, 20 * MS, 20 * MS);
        Map<String, Integer> counts = endpointsOfOneKey(s, 1);
        int most = counts.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertTrue(counts.size() >= 3 && most < 120, "endpoints of half of the traffic: " + counts);
    }

    /**
     * How often each endpoint gets one key, for 200 requests of that key, each followed by {@code
     * others} requests of other keys.
     */
    private static Map<String, Integer> endpointsOfOneKey(ScriptedBalancer s, int others) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int i = 0; i < 200 * (1 + others); i++) {
            long id = 100_000L + i;
            boolean watched = i % (1 + others) == 0;
            long key = watched ? 42 : 1000 + i % 97;
            s.balancer.requestArrived(s.now, id, "safe", 0, s.now + 1000 * MS, null, false, key);
            if (watched) {
                counts.merge(s.sendsOf(id).get(0).endpoint(), 1, Integer::sum);
            }
            s.advance(20 * MS);
            s.end(id, Outcome.OK);
        }
        return counts;
    }

    @Test
    void aPopularKeySpillsOverTheLoadBound() {
        Settings settings = ScriptedBalancer.settings();
        settings.keyAffinity = true;
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.endpoints("a", "b", "c", "d", "e", "f");
        Map<String, Integer> counts = new TreeMap<>();
        for (int i = 0; i < 6; i++) {
            long id = 100_000L + i;
            s.balancer.requestArrived(s.now, id, "safe", 0, s.now + 1000 * MS, null, false, 42);
            counts.merge(s.sendsOf(id).get(0).endpoint(), 1, Integer::sum);
        }
        assertTrue(counts.values().stream().allMatch(n -> n <= 2), "a hot spot: " + counts);
    }

    @Test
    void aKeyKeepsItsHomeWhenAnotherEndpointIsRemoved() {
        Settings settings = ScriptedBalancer.settings();
        settings.keyAffinity = true;
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.endpoints("a", "b", "c", "d", "e", "f");
        Map<Long, String> before = homes(s, 100_000);
        s.delta(new EndpointEntry("c", 1, EndpointState.GONE, "here", 0, 0));
        Map<Long, String> after = homes(s, 200_000);
        before.values().removeIf("c"::equals);
        after.keySet().retainAll(before.keySet());
        long kept =
                before.keySet().stream().filter(k -> before.get(k).equals(after.get(k))).count();
        assertTrue(before.size() > 20 && before.size() < 40, "keys are spread: " + before);
        assertTrue(kept > 0.9 * before.size(), before + " and after " + after);
    }

    /** The endpoint that gets most requests of each of 40 keys. */
    private static Map<Long, String> homes(ScriptedBalancer s, long firstId) {
        Map<Long, String> homes = new TreeMap<>();
        for (long key = 1; key <= 40; key++) {
            TreeMap<String, Integer> counts = new TreeMap<>();
            for (int i = 0; i < 20; i++) {
                long id = firstId + 1000 * key + i;
                s.balancer.requestArrived(
                        s.now, id, "safe", 0, s.now + 1000 * MS, null, false, key);
                counts.merge(s.sendsOf(id).get(0).endpoint(), 1, Integer::sum);
                s.advance(20 * MS);
                s.end(id, Outcome.OK);
            }
            String home = counts.firstKey();
            for (String b : counts.keySet()) {
                home = counts.get(b) > counts.get(home) ? b : home;
            }
            homes.put(key, home);
        }
        return homes;
    }
}
