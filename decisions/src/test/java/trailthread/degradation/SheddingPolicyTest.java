package trailthread.degradation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;
import trailthread.degradation.DegradationLevel.Reach;

/** The order in which classes are shed, and which of their requests are admitted. */
public class SheddingPolicyTest {
    private static final List<RequestClass> CLASSES =
            List.of(
                    ControllerDriver.requestClass("u", Idempotency.NOT_IDEMPOTENT, 1),
                    ControllerDriver.requestClass("k", Idempotency.IDEMPOTENCY_KEY, 9),
                    ControllerDriver.requestClass("s2", Idempotency.IDEMPOTENT, 2),
                    ControllerDriver.requestClass("s1", Idempotency.IDEMPOTENT, 1),
                    ControllerDriver.requestClass("s0", Idempotency.IDEMPOTENT, 1));

    @Test
    public void theOrderIsByIdempotencyThenPriorityWeightUnlessNamesAreGiven() {
        SheddingOrder order = new SheddingOrder(CLASSES, List.of());
        assertEquals(List.of("s1", "s0", "s2", "k", "u"), order.names());
        assertEquals(3, order.classesIn(Reach.SAFE));
        assertEquals(4, order.classesIn(Reach.ALL_BUT_LAST));
        assertFalse(order.isOutsideSafeReach("s2"));
        assertTrue(order.isOutsideSafeReach("k"));
        SheddingOrder named = new SheddingOrder(CLASSES, List.of("k", "s2"));
        assertEquals(List.of("k", "s2", "s1", "s0", "u"), named.names());
        assertEquals("to the last that is idempotent", 4, named.classesIn(Reach.SAFE));
        SheddingOrder safe = new SheddingOrder(CLASSES.subList(2, 5), List.of());
        assertEquals("the last is in no reach", 2, safe.classesIn(Reach.SAFE));
        assertTrue(safe.isOutsideSafeReach("s2"));
        assertEquals(
                0,
                new SheddingOrder(CLASSES.subList(0, 1), List.of()).classesIn(Reach.ALL_BUT_LAST));
        assertThrows(
                IllegalArgumentException.class, () -> new SheddingOrder(CLASSES, List.of("x")));
        assertThrows(
                IllegalArgumentException.class,
                () -> new SheddingOrder(CLASSES, List.of("k", "k")));
    }

    @Test
    public void classesAreShedOneAfterTheOtherAndRequestsOverQuotaFirst() {
        SheddingPolicy policy =
                new SheddingPolicy(
                        new SheddingOrder(CLASSES, List.of()),
                        DegradationPlan.defaults().get(2),
                        1.5,
                        0.1);
        double[] within = {0.1, 0.55, 1, 1, 1};
        double[] over = {0.1, 0.1, 0.1, 1, 1};
        String[] names = {"s1", "s0", "s2", "k", "u"};
        for (int i = 0; i < names.length; i++) {
            assertEquals(names[i], within[i], policy.share(names[i], false), 1e-12);
            assertEquals(names[i], over[i], policy.share(names[i], true), 1e-12);
        }
        assertEquals("the balancer reports it", 1, policy.share("unknown", true), 0);
        assertTrue(policy.admits("s0", false, 0.549));
        assertFalse(policy.admits("s0", false, 0.551));
    }

    @Test
    public void aDecayingShareForgetsAndFewEventsProveNothing() {
        DecayingShare recent = new DecayingShare(10e9, 0);
        recent.count(0, true);
        assertTrue("one of one: " + recent.share(0), recent.share(0) < 0.05);
        for (int i = 0; i < 4000; i++) {
            recent.count(i * 25_000_000L, i % 4 == 0);
        }
        assertEquals(0.25 * 400 / 450, recent.share(100_000_000_000L), 0.01);
        assertEquals(0, recent.share(300_000_000_000L), 1e-6);
    }
}
