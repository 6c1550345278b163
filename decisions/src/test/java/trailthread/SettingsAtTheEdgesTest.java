package trailthread;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.util.List;
import java.util.function.Consumer;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.api.Tenant;

/** An open endpoint is always drawn, whatever the settings are that the check accepts. */
public class SettingsAtTheEdgesTest {
    private static final long MS = ScriptedBalancer.MS;
    private static final long HOUR = 3_600_000 * MS;
    private static final int REQUESTS = 30;
    private static final double[] WEIGHTS = {0, Double.MIN_VALUE, 1, Double.MAX_VALUE};
    private static final long[] OBJECTIVES_NS = {0, 1, 200 * MS, Long.MAX_VALUE};

    private static RequestClass requestClass(
            String name, long objectiveNs, double weight, double lateShare) {
        return new RequestClass(
                name,
                objectiveNs,
                0,
                1000 * MS,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                weight,
                lateShare);
    }

    private static Settings settings(RequestClass... classes) {
        Settings settings = new Settings();
        settings.classes.addAll(List.of(classes));
        return settings;
    }

    private static void checkSent(ScriptedBalancer s, String requestClass, String at) {
        long id = s.request(requestClass);
        assertEquals(at + ", " + requestClass, 1, s.sendsOf(id).size());
        s.advance(2 * MS);
        s.end(id, Outcome.OK);
        s.advance(20 * MS);
    }

    /** Checks that each request is sent at once, also after hours without one. */
    private static void checkAllSent(Settings settings, String at) {
        ScriptedBalancer s = new ScriptedBalancer(settings, 1);
        s.endpoints("a", "b");
        for (int day = 0; day < 2; day++) {
            for (int i = 0; i < REQUESTS; i++) {
                RequestClass next = settings.classes.get(i % settings.classes.size());
                checkSent(s, next.name(), at + ", day " + day + ", request " + i);
            }
            s.sends.clear();
            s.advance(24 * HOUR);
        }
    }

    /** Guards against a first request that is worth nothing, after which none was sent. */
    @Test
    public void requestsOfAnyWeightAreSent() {
        for (double weight : WEIGHTS) {
            for (double lateShare : WEIGHTS) {
                RequestClass first = requestClass("first", 200 * MS, weight, lateShare);
                String at = "weight " + weight + ", late " + lateShare;
                checkAllSent(settings(first), at);
                checkAllSent(settings(first, requestClass("usual", 200 * MS, 1, 0.2)), at);
                checkAllSent(settings(first, requestClass("other", 200 * MS, 0, 0)), at);
            }
        }
    }

    /** Guards against divisions by an objective of 0, and sums beyond the largest number. */
    @Test
    public void requestsOfAnyObjectiveAreSent() {
        for (long objectiveNs : OBJECTIVES_NS) {
            for (double weight : WEIGHTS) {
                RequestClass first = requestClass("first", objectiveNs, weight, 1);
                String at = "objective " + objectiveNs + ", weight " + weight;
                checkAllSent(settings(first), at);
                checkAllSent(settings(first, requestClass("usual", 200 * MS, 1, 0.2)), at);
            }
        }
    }

    /** Guards against requests over a quota, which may be worth nothing, as the first ones. */
    @Test
    public void requestsOverAQuotaAreSent() {
        Settings settings = settings(requestClass("usual", 200 * MS, 1, 0.2));
        settings.overQuotaWeight = 0;
        settings.tenants.add(new Tenant("acme", 0, 1));
        ScriptedBalancer s = new ScriptedBalancer(settings, 1);
        s.endpoints("a", "b");
        s.balancer.requestArrived(
                s.now, s.nextId++, "usual", 0, s.now + 1000 * MS, "acme", false, 0);
        assertEquals(1, s.sends.size());
        s.end(1, Outcome.OK);
        checkSent(s, "usual", "after a request over its quota");
    }

    /** Guards against queued requests that nothing takes from the queue. */
    @Test
    public void queuedRequestsThatAreWorthNothingAreSentWhenAnEndpointAppears() {
        ScriptedBalancer s =
                new ScriptedBalancer(settings(requestClass("first", 200 * MS, 0, 0.2)), 1);
        s.endpoints();
        long id = s.request("first");
        s.advance(20 * MS);
        s.endpoints("a");
        assertEquals(1, s.sendsOf(id).size());
    }

    private static void assertRejected(Consumer<Settings> change) {
        Settings settings = settings(requestClass("usual", 200 * MS, 1, 0.2));
        change.accept(settings);
        assertThrows(IllegalArgumentException.class, settings::check);
    }

    @Test
    public void weightsThatAreNotFiniteAreRejected() {
        double infinite = Double.POSITIVE_INFINITY;
        assertRejected(s -> s.classes.add(requestClass("a", 200 * MS, infinite, 0)));
        assertRejected(s -> s.classes.add(requestClass("a", 200 * MS, 1, infinite)));
        assertRejected(s -> s.classes.add(requestClass("a", 200 * MS, Double.NaN, 0)));
    }
}
