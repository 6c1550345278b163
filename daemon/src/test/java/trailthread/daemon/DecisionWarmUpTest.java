package trailthread.daemon;

import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.engine.loop.EventLoop;

/** The warm-up must exercise the decisions of an overloaded node. */
public class DecisionWarmUpTest {
    @Test
    public void theSimulationSendsQueuesAndRejects() {
        Settings settings = new Settings();
        settings.retryAfter = true;
        settings.maxRetryAfterNs = 1_000_000_000L;
        settings.classes.add(
                new RequestClass(
                        "use",
                        100_000_000L,
                        0,
                        500_000_000L,
                        Idempotency.NOT_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0));
        int[] sent = {0};
        List<Long> rejected = new ArrayList<>();
        DecisionWarmUp simulation =
                new DecisionWarmUp(settings, 1) {
                    @Override
                    public void send(
                            long request, long timeoutNs, long writtenBy, String endpoint) {
                        sent[0]++;
                        super.send(request, timeoutNs, writtenBy, endpoint);
                    }

                    @Override
                    public void reject(long request, long retryAfterNs) {
                        rejected.add(request);
                    }
                };
        for (int i = 0; i < 300; i++) {
            simulation.step();
        }
        assertTrue("sent " + sent[0], sent[0] >= 100);
        assertTrue("rejected " + rejected.size(), rejected.size() >= 10);
    }

    /** Guards against a process that is up and never ready, as its warm-up threw an exception. */
    @Test
    public void aWarmUpThatFailsDoesNotEndTheStart() throws Exception {
        EventLoop loop = new EventLoop("warm-up");
        DecisionWarmUp.run(loop, new Settings(), 1); // without a class no request can be simulated
        loop.xnioWorker().shutdownNow();
    }
}
