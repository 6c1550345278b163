package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import trailthread.BalancerApi.Entry;
import trailthread.BalancerApi.Group;
import trailthread.BalancerApi.ListKind;
import trailthread.BalancerApi.RequestClass;
import trailthread.BalancerApi.Semantics;
import trailthread.BalancerApi.Settings;
import trailthread.BalancerApi.State;

/** The embedding example of the README, as it stands there. */
class EmbeddingTest {
    @Test
    void theReadmeExampleSendsItsRequest() {
        Script actions = new Script(Script.settings(), 1);
        long now = 5;
        long seed = 7;

        Settings settings = new Settings();
        settings.classes.add(
                new RequestClass(
                        "read",
                        200_000_000L,
                        0,
                        1_000_000_000L,
                        Semantics.SAFE,
                        Group.ALL,
                        0,
                        1,
                        0.2));
        Balancer balancer = new Balancer(settings, seed, now, actions);
        balancer.list(
                now,
                ListKind.FULL,
                List.of(new Entry("10.0.0.1:80", 1, State.READY, "east", 0, -1)));
        balancer.request(now, 1, "read", 0, now + 1_000_000_000L, null, false, 0);

        assertEquals("10.0.0.1:80", actions.sends.get(0).backend());
    }
}
