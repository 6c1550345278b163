package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Idempotency;
import trailthread.api.ListKind;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** The embedding example of the README, as it stands there. */
class EmbeddingTest {
    @Test
    void theReadmeExampleSendsItsRequest() {
        ScriptedBalancer actions = new ScriptedBalancer(ScriptedBalancer.settings(), 1);
        long now = 5;
        long seed = 7;

        Settings settings = new Settings();
        settings.classes.add(
                new RequestClass(
                        "read",
                        200_000_000L,
                        0,
                        1_000_000_000L,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0.2));
        Balancer balancer = new Balancer(settings, seed, now, actions);
        balancer.updateEndpointList(
                now,
                ListKind.FULL,
                List.of(new EndpointEntry("10.0.0.1:80", 1, EndpointState.READY, "east", 0, -1)));
        balancer.requestArrived(now, 1, "read", 0, now + 1_000_000_000L, null, false, 0);

        assertEquals("10.0.0.1:80", actions.sends.get(0).endpoint());
    }
}
