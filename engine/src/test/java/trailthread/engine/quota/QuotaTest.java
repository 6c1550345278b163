package trailthread.engine.quota;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Quotas and shares of time, case by case. */
public class QuotaTest {
    private static final long MS = 1_000_000;
    private static final long S = 1000 * MS;

    @Test
    public void oneAloneHasTheWholeRestAndNoGuarantee() {
        Quota quota = new Quota(10, S);
        Quota.Party a = quota.join(2, 10);
        quota.join(3, 10);
        for (int i = 0; i < 7; i++) {
            assertTrue("the " + i, a.take(1, 0));
        }
        assertFalse("the other's guarantee", a.take(1, 0));
    }

    @Test
    public void whoWantsNoLongerLeavesItToTheOther() {
        Quota quota = new Quota(10, S);
        Quota.Party a = quota.join(0, 10);
        Quota.Party b = quota.join(0, 10);
        assertTrue(a.take(10, 0));
        assertFalse(b.take(1, 0));
        assertEquals(5, a.owes(S - 1));
        assertEquals("long ago", 0, a.owes(S));
        a.give(5);
        assertTrue(b.take(1, S));
        assertFalse("both want, and it has its half", a.take(1, S));
        assertTrue("it alone", a.take(1, 3 * S));
    }

    @Test
    public void whatLeavesGivesBackInItsTime() {
        Quota quota = new Quota(10, S);
        Quota.Party a = quota.join(6, 10);
        assertTrue(a.take(8, 0));
        a.leave();
        assertEquals("its guarantee is for others", 10, quota.unpromised());
        Quota.Party b = quota.join(6, 6);
        assertTrue(b.take(2, 0));
        assertFalse("there is no more yet", b.take(1, 0));
        a.give(8);
        assertTrue(b.take(4, 0));
        assertThrows(IllegalStateException.class, () -> a.give(1));
        assertThrows(IllegalArgumentException.class, () -> quota.join(5, 5));
    }

    @Test
    public void otherBounds() {
        Quota quota = new Quota(10, S);
        Quota.Party a = quota.join(4, 10);
        assertTrue(a.take(8, 0));
        a.change(0, 5);
        assertEquals(8, a.borrowed());
        assertFalse(a.take(1, 0));
        a.give(4);
        assertTrue(a.take(1, 0));
        assertThrows(IllegalArgumentException.class, () -> a.change(11, 11));
    }

    @Test
    public void whileThereIsTimeAllBegin() {
        TimeQuota time = new TimeQuota(200 * MS, 0);
        TimeQuota.Party a = time.join(1);
        TimeQuota.Party b = time.join(3);
        a.used(100 * MS, 0);
        assertTrue(a.mayBegin(0) && b.mayBegin(0));
        assertEquals(0.5, a.share(0), 0.001);
        assertEquals("it fades", 0.5 / Math.E, a.share(200 * MS), 0.001);
    }

    @Test
    public void withoutTimeWhoHasHadItsShareBeginsNothing() {
        TimeQuota time = new TimeQuota(200 * MS, 0);
        TimeQuota.Party a = time.join(1);
        TimeQuota.Party b = time.join(3);
        a.used(100 * MS, 0);
        b.used(100 * MS, 0);
        assertFalse("a quarter is its own", a.mayBegin(0));
        assertTrue("three quarters are its own", b.mayBegin(0));
        b.leave();
        a.change(1);
        assertTrue("there is time again", a.mayBegin(300 * MS));
    }
}
