package trailthread;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static trailthread.ScriptedBalancer.MS;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import trailthread.api.Settings;
import trailthread.api.Tenant;

/** Requests that the host does not admit are rejected at once, and no others. */
public class AdmissionTest {
    private final Settings settings = ScriptedBalancer.settings();

    @Test
    public void rejectsWhatIsNotAdmittedAtOnceWithRetryAfter() {
        settings.retryAfter = true;
        settings.maxRetryAfterNs = 500 * MS;
        ScriptedBalancer s = new ScriptedBalancer(settings, 3);
        s.endpoints("a", "b");
        List<Double> drawn = new ArrayList<>();
        s.balancer.setAdmission(
                (requestClass, overQuota, random) -> {
                    drawn.add(random);
                    return !requestClass.equals("safe");
                });
        long shed = s.request("safe");
        long admitted = s.request("unsafe");
        assertEquals(List.of(shed), s.rejected);
        assertTrue(s.lastRetryAfterNs > 0);
        assertTrue(s.sendsOf(shed).isEmpty());
        assertEquals(1, s.sendsOf(admitted).size());
        assertTrue(drawn.size() == 2 && drawn.stream().allMatch(d -> d >= 0 && d < 1));
        s.balancer.setAdmission(null);
        assertEquals(1, s.sendsOf(s.request("safe")).size());
    }

    @Test
    public void admissionLearnsWhetherTheTenantIsOverItsQuota() {
        settings.tenants.add(new Tenant("acme", 1, 1));
        ScriptedBalancer s = new ScriptedBalancer(settings, 3);
        s.endpoints("a", "b");
        s.balancer.setAdmission((requestClass, overQuota, random) -> !overQuota);
        s.balancer.requestArrived(s.now, 1, "safe", 0, s.now + 1000 * MS, "acme", false, 0);
        s.balancer.requestArrived(s.now, 2, "safe", 0, s.now + 1000 * MS, "acme", false, 0);
        assertEquals(List.of(2L), s.rejected);
    }

    /** Replays of recorded runs without an admission must give the same actions. */
    @Test
    public void drawsNoRandomNumberWithoutAnAdmission() {
        ScriptedBalancer with = new ScriptedBalancer(settings, 3);
        with.balancer.setAdmission((requestClass, overQuota, random) -> true);
        with.balancer.setAdmission(null);
        ScriptedBalancer without = new ScriptedBalancer(settings, 3);
        for (ScriptedBalancer s : List.of(with, without)) {
            s.endpoints("a", "b", "c");
            for (int i = 0; i < 20; i++) {
                s.request("safe");
                s.advance(MS);
            }
        }
        assertEquals(without.transcript.toString(), with.transcript.toString());
    }
}
