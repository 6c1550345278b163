package trailthread.lab.model;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import trailthread.lab.model.ServerModel.Job;

/** Each law of a server by itself. */
public class ServerModelTest {
    private static final long MS = 1_000_000;
    private final List<String> done = new ArrayList<>();
    private ServerModel model;

    private static final class Named extends Job {
        private final String name;

        Named(String name, double work) {
            super(work);
            this.name = name;
        }
    }

    private void start(ServerLimits limits, boolean cold) {
        model = new ServerModel(limits, 0, cold);
    }

    private boolean bring(long at, Job job) {
        advance(at);
        return model.arrive(at, job);
    }

    private void advance(long until) {
        while (model.nextEventTime() <= until) {
            long at = model.nextEventTime();
            model.advance(
                    at, job -> done.add(((Named) job).name + "@" + Math.round((double) at / MS)));
        }
        model.advance(until, job -> done.add("?"));
    }

    @Test
    public void sharesCoresAndKeepsWaitingOnesInOrder() {
        start(ServerLimits.plain(1, 2, 2, 2), false);
        assertTrue(bring(0, new Named("a", 10 * MS)));
        assertTrue(bring(0, new Named("b", 20 * MS)));
        assertTrue(bring(1 * MS, new Named("c", 10 * MS)));
        assertTrue(bring(1 * MS, new Named("d", 10 * MS)));
        assertFalse("no room", bring(1 * MS, new Named("e", 10 * MS)));
        assertEquals(4, model.inflight());
        assertEquals(2, model.queue());
        advance(100 * MS);
        assertEquals(List.of("a@10", "b@20", "c@20", "d@30"), done);
    }

    @Test
    public void threeOnTwoCoresEachGetTwoThirds() {
        start(ServerLimits.plain(1, 2, 8, 0), false);
        bring(0, new Named("a", 10 * MS));
        bring(0, new Named("b", 10 * MS));
        bring(0, new Named("c", 10 * MS));
        advance(100 * MS);
        assertEquals(List.of("a@15", "b@15", "c@15"), done);
    }

    @Test
    public void aCrowdCostsEfficiency() {
        start(
                new ServerLimits(
                        1, 1, 8, 0, 0.5, ServerLimits.Jam.NEVER, ServerLimits.Cold.NEVER, false),
                false);
        bring(0, new Named("a", 10 * MS));
        bring(0, new Named("b", 10 * MS));
        advance(100 * MS);
        assertEquals("two, each at half, at 1 / 1.5", List.of("a@30", "b@30"), done);
    }

    @Test
    public void workBesideRequestsIsTakenFromThoseInWork() {
        start(ServerLimits.plain(1, 1, 8, 0), false);
        model.addBackgroundWork(100 * MS); // by an idle core
        bring(0, new Named("a", 10 * MS));
        bring(0, new Named("b", 10 * MS));
        advance(5 * MS);
        model.addBackgroundWork(4 * MS);
        advance(100 * MS);
        assertEquals(List.of("a@24", "b@24"), done);
    }

    @Test
    public void whatWaitsIsDroppedAndWhatWorksGoesOn() {
        start(ServerLimits.plain(1, 1, 1, 8), false);
        Job a = new Named("a", 10 * MS);
        Job b = new Named("b", 10 * MS);
        bring(0, a);
        bring(0, b);
        bring(0, new Named("c", 10 * MS));
        assertFalse(model.cancel(0, a));
        assertTrue(model.cancel(0, b));
        assertFalse("it is gone", model.cancel(0, b));
        advance(100 * MS);
        assertEquals(List.of("a@10", "c@20"), done);
    }

    @Test
    public void aJamKeepsItselfUpUntilItHasBeenNearlyIdle() {
        ServerLimits.Jam jam = new ServerLimits.Jam(2, 100 * MS, 3, 1, 50 * MS);
        start(new ServerLimits(1, 1, 1, 100, 0, jam, ServerLimits.Cold.NEVER, false), false);
        for (int i = 0; i < 20; i++) {
            bring(0, new Named("j" + i, 10 * MS));
        }
        advance(99 * MS);
        assertFalse("not long enough", model.isJammed());
        advance(101 * MS);
        assertTrue(model.isJammed());
        advance(390 * MS);
        assertTrue("few wait, and it is still slow", model.isJammed());
        advance(1000 * MS);
        assertFalse(model.isJammed());
        assertEquals("ten at 10 ms, ten at 30", "j19@400", done.get(19));
        assertEquals(1, model.jams());
    }

    @Test
    public void aShortCrowdDoesNotJam() {
        ServerLimits.Jam jam = new ServerLimits.Jam(2, 100 * MS, 3, 1, 50 * MS);
        start(new ServerLimits(1, 1, 1, 100, 0, jam, ServerLimits.Cold.NEVER, false), false);
        for (int i = 0; i < 9; i++) {
            bring(0, new Named("j" + i, 10 * MS));
        }
        advance(1000 * MS);
        assertEquals(0, model.jams());
        assertEquals("j8@90", done.get(8));
    }

    @Test
    public void aColdStartRisesEvenly() {
        ServerLimits.Cold cold = new ServerLimits.Cold(0.5, 64 * MS, 100, 1000 * MS);
        start(new ServerLimits(1, 1, 1, 10, 0, ServerLimits.Jam.NEVER, cold, false), true);
        assertEquals(0.5, model.capacityShare(0), 0);
        assertEquals(0.75, model.capacityShare(32 * MS), 0.01);
        assertEquals(1, model.capacityShare(64 * MS), 0);
        bring(0, new Named("a", 20 * MS));
        advance(100 * MS);
        // The integral of 0.5 + t / 128 is 20 at t = 32.0 (with steps a little later).
        assertEquals(List.of("a@32"), done);
    }

    @Test
    public void aColdOneSentTooMuchFallsOverAndOneSentLessDoesNot() {
        ServerLimits.Cold cold = new ServerLimits.Cold(0.25, 10_000 * MS, 2, 1000 * MS);
        ServerLimits limits =
                new ServerLimits(1, 1, 1, 1000, 0, ServerLimits.Jam.NEVER, cold, false);
        start(limits, true);
        for (int i = 0; i < 50; i++) { // twice a quarter of a second's work, to the last
            assertTrue(bring(0, new Named("a", 10 * MS)));
        }
        assertFalse(model.hasCrashed());
        bring(0, new Named("a", 10 * MS));
        assertTrue(model.hasCrashed());
        assertFalse("it does nothing any more", bring(1, new Named("a", MS)));
        start(limits, true);
        for (int i = 0; i < 400; i++) {
            bring(25L * i * MS, new Named("a", 10 * MS));
        }
        assertFalse("spread out", model.hasCrashed());
        start(limits, false);
        for (int i = 0; i < 500; i++) {
            bring(0, new Named("a", 10 * MS));
        }
        assertFalse("warm", model.hasCrashed());
    }

    @Test(expected = IllegalStateException.class)
    public void oneRequestIsBroughtOnce() {
        start(ServerLimits.plain(1, 1, 1, 8), false);
        Job a = new Named("a", MS);
        bring(0, a);
        bring(0, a);
    }
}
