package trailthread.lab.model;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import trailthread.lab.model.ServerModel.Job;

/** Each effect of {@link ServerLimits} on its own. */
public class ServerModelTest {
    private static final long MS = 1_000_000;
    private final List<String> done = new ArrayList<>();
    private ServerModel model;

    private static final class NamedJob extends Job {
        private final String name;

        NamedJob(String name, double work) {
            super(work);
            this.name = name;
        }
    }

    private void start(ServerLimits limits, boolean cold) {
        model = new ServerModel(limits, 0, cold);
    }

    private boolean arrive(long at, Job job) {
        advance(at);
        return model.arrive(at, job);
    }

    private void advance(long until) {
        while (model.nextEventTime() <= until) {
            long at = model.nextEventTime();
            model.advance(
                    at,
                    job -> done.add(((NamedJob) job).name + "@" + Math.round((double) at / MS)));
        }
        model.advance(until, job -> done.add("?"));
    }

    @Test
    public void sharesCoresAndServesTheQueueInOrder() {
        start(ServerLimits.plain(1, 2, 2, 2), false);
        assertTrue(arrive(0, new NamedJob("a", 10 * MS)));
        assertTrue(arrive(0, new NamedJob("b", 20 * MS)));
        assertTrue(arrive(1 * MS, new NamedJob("c", 10 * MS)));
        assertTrue(arrive(1 * MS, new NamedJob("d", 10 * MS)));
        assertFalse("the queue is full", arrive(1 * MS, new NamedJob("e", 10 * MS)));
        assertEquals(4, model.inflight());
        assertEquals(2, model.queue());
        advance(100 * MS);
        assertEquals(List.of("a@10", "b@20", "c@20", "d@30"), done);
    }

    @Test
    public void threeJobsOnTwoCoresEachGetTwoThirdsOfACore() {
        start(ServerLimits.plain(1, 2, 8, 0), false);
        arrive(0, new NamedJob("a", 10 * MS));
        arrive(0, new NamedJob("b", 10 * MS));
        arrive(0, new NamedJob("c", 10 * MS));
        advance(100 * MS);
        assertEquals(List.of("a@15", "b@15", "c@15"), done);
    }

    @Test
    public void contentionReducesThroughput() {
        start(
                new ServerLimits(
                        1, 1, 8, 0, 0.5, ServerLimits.Jam.NEVER, ServerLimits.Cold.NEVER, false),
                false);
        arrive(0, new NamedJob("a", 10 * MS));
        arrive(0, new NamedJob("b", 10 * MS));
        advance(100 * MS);
        assertEquals(
                "each has half of a core that works at 1 / 1.5", List.of("a@30", "b@30"), done);
    }

    @Test
    public void backgroundWorkSlowsExecutingJobs() {
        start(ServerLimits.plain(1, 1, 8, 0), false);
        model.addBackgroundWork(100 * MS); // the server is idle: no effect
        arrive(0, new NamedJob("a", 10 * MS));
        arrive(0, new NamedJob("b", 10 * MS));
        advance(5 * MS);
        model.addBackgroundWork(4 * MS);
        advance(100 * MS);
        assertEquals(List.of("a@24", "b@24"), done);
    }

    @Test
    public void cancelRemovesQueuedJobsButNotExecutingOnes() {
        start(ServerLimits.plain(1, 1, 1, 8), false);
        Job a = new NamedJob("a", 10 * MS);
        Job b = new NamedJob("b", 10 * MS);
        arrive(0, a);
        arrive(0, b);
        arrive(0, new NamedJob("c", 10 * MS));
        assertFalse(model.cancel(0, a));
        assertTrue(model.cancel(0, b));
        assertFalse("already removed", model.cancel(0, b));
        advance(100 * MS);
        assertEquals(List.of("a@10", "c@20"), done);
    }

    @Test
    public void aJamLastsUntilTheServerHasBeenNearlyIdle() {
        ServerLimits.Jam jam = new ServerLimits.Jam(2, 100 * MS, 3, 1, 50 * MS);
        start(new ServerLimits(1, 1, 1, 100, 0, jam, ServerLimits.Cold.NEVER, false), false);
        for (int i = 0; i < 20; i++) {
            arrive(0, new NamedJob("j" + i, 10 * MS));
        }
        advance(99 * MS);
        assertFalse("too soon to jam", model.isJammed());
        advance(101 * MS);
        assertTrue(model.isJammed());
        advance(390 * MS);
        assertTrue("still jammed although the queue is short", model.isJammed());
        advance(1000 * MS);
        assertFalse(model.isJammed());
        assertEquals("ten jobs of 10 ms, then ten of 30 ms", "j19@400", done.get(19));
        assertEquals(1, model.jams());
    }

    @Test
    public void aBriefQueueDoesNotJam() {
        ServerLimits.Jam jam = new ServerLimits.Jam(2, 100 * MS, 3, 1, 50 * MS);
        start(new ServerLimits(1, 1, 1, 100, 0, jam, ServerLimits.Cold.NEVER, false), false);
        for (int i = 0; i < 9; i++) {
            arrive(0, new NamedJob("j" + i, 10 * MS));
        }
        advance(1000 * MS);
        assertEquals(0, model.jams());
        assertEquals("j8@90", done.get(8));
    }

    @Test
    public void capacityRisesLinearlyAfterAColdStart() {
        ServerLimits.Cold cold = new ServerLimits.Cold(0.5, 64 * MS, 100, 1000 * MS);
        start(new ServerLimits(1, 1, 1, 10, 0, ServerLimits.Jam.NEVER, cold, false), true);
        assertEquals(0.5, model.capacityShare(0), 0);
        assertEquals(0.75, model.capacityShare(32 * MS), 0.01);
        assertEquals(1, model.capacityShare(64 * MS), 0);
        arrive(0, new NamedJob("a", 20 * MS));
        advance(100 * MS);
        // The integral of 0.5 + t / 128 is 20 at t = 32.0 (with steps a little later).
        assertEquals(List.of("a@32"), done);
    }

    @Test
    public void aColdServerCrashesOnlyWhenOverloaded() {
        ServerLimits.Cold cold = new ServerLimits.Cold(0.25, 10_000 * MS, 2, 1000 * MS);
        ServerLimits limits =
                new ServerLimits(1, 1, 1, 1000, 0, ServerLimits.Jam.NEVER, cold, false);
        start(limits, true);
        for (int i = 0; i < 50; i++) { // just within the limit of twice the work of 250 ms
            assertTrue(arrive(0, new NamedJob("a", 10 * MS)));
        }
        assertFalse(model.hasCrashed());
        arrive(0, new NamedJob("a", 10 * MS));
        assertTrue(model.hasCrashed());
        assertFalse("a crashed server rejects requests", arrive(1, new NamedJob("a", MS)));
        start(limits, true);
        for (int i = 0; i < 400; i++) {
            arrive(25L * i * MS, new NamedJob("a", 10 * MS));
        }
        assertFalse("work spread over time", model.hasCrashed());
        start(limits, false);
        for (int i = 0; i < 500; i++) {
            arrive(0, new NamedJob("a", 10 * MS));
        }
        assertFalse("warm server", model.hasCrashed());
    }

    @Test(expected = IllegalStateException.class)
    public void aJobArrivesOnlyOnce() {
        start(ServerLimits.plain(1, 1, 1, 8), false);
        Job a = new NamedJob("a", MS);
        arrive(0, a);
        arrive(0, a);
    }
}
