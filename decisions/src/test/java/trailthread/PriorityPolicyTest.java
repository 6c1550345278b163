package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.WiredModules.MS;
import static trailthread.WiredModules.NOW;

import org.junit.jupiter.api.Test;
import trailthread.api.Settings;
import trailthread.api.Tenant;

/** Objectives are 200 ms; a late response earns 0.2 of the weight of 1. */
class PriorityPolicyTest {
    private final Settings settings = ScriptedBalancer.settings();
    private final WiredModules modules = new WiredModules(settings);
    private final FairShare fairShare = new FairShare();
    private final PriorityPolicy priorities =
            new PriorityPolicy(modules.settings, modules.means, fairShare, NOW);

    private Request arrive(String requestClass, String tenant, long workNs) {
        fairShare.applySettings(modules.settings, NOW);
        Request request =
                modules.request(
                        fairShare.requestClass(requestClass),
                        fairShare.tenant(tenant),
                        workNs,
                        NOW + 1000 * MS);
        priorities.recordArrival(request, NOW);
        return request;
    }

    /** With x mean latencies left, 0.2 + 0.8 * x^3 / (1 + x^3). */
    @Test
    void theExpectedWeightFallsWithTheTimeLeftToTheObjective() {
        modules.means.recordLatency(100 * MS);
        Request request = arrive("safe", null, 0);
        request.requestClass.recordLatency(100 * MS);
        assertEquals(0.2 + 0.8 * 8 / 9, priorities.weightPerWork(request, NOW), 1e-9);
        assertEquals(0.6, priorities.weightPerWork(request, NOW + 100 * MS), 1e-9);
        assertEquals(0.2, priorities.weightPerWork(request, NOW + 300 * MS), 1e-9);
    }

    @Test
    void aRequestOfTwiceTheMeanWorkIsWorthHalfForEachUnitOfIt() {
        modules.means.recordWork(10 * MS);
        double mean = priorities.weightPerWork(arrive("safe", null, 10 * MS), NOW);
        double twice = priorities.weightPerWork(arrive("safe", null, 20 * MS), NOW);
        assertEquals(mean / 2, twice, 1e-9);
    }

    @Test
    void aRequestOverItsQuotaLosesItsWeightAndIsNoDemandOfItsTenant() {
        settings.overQuotaWeight = 0.25;
        settings.tenants.add(
                new Tenant("acme", 1, 1)); // one request in the overload window of a second
        assertEquals(1, arrive("safe", "acme", 0).weight);
        Request over = arrive("safe", "acme", 0);
        assertEquals(0.25, over.weight);
        assertTrue(over.overQuota);
        assertEquals(1, over.tenant.requested.value(NOW), 1e-9);
    }

    /**
     * Of four requests, one is of the worst-served class: the gain is 1 / 4, plus 0.5 / 1 for that
     * class.
     */
    @Test
    void theWorstServedClassAddsMoreToTheGoal() {
        settings.goalWorstClass = 0.5;
        for (int i = 0; i < 3; i++) {
            priorities.recordServed(arrive("safe", null, 0), NOW);
        }
        Request unserved = arrive("unsafe", null, 0);
        PriorityPolicy.MarginalGain gain = priorities.marginalGain(NOW);
        assertEquals(0.75, gain.gainFor(unserved.requestClass, null), 1e-9);
        assertEquals(0.25, gain.gainFor(fairShare.requestClass("safe"), null), 1e-9);
    }

    @Test
    void anAnswerAfterTheObjectiveEarnsTheLateShare() {
        Request inTime = arrive("safe", null, 0);
        Request late = arrive("keyed", null, 0);
        priorities.recordServed(inTime, NOW + 200 * MS);
        priorities.recordServed(late, NOW + 200 * MS + 1);
        assertEquals(1, inTime.requestClass.served.value(NOW + 200 * MS), 1e-9);
        assertEquals(0.2, late.requestClass.served.value(NOW + 200 * MS + 1), 1e-9);
    }
}
