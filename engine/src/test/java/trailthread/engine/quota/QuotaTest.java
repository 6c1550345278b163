package trailthread.engine.quota;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Tests {@link Quota} and {@link TimeQuota} case by case. */
public class QuotaTest {
    private static final long MS = 1_000_000;
    private static final long S = 1000 * MS;

    @Test
    public void theOnlyBorrowerGetsAllButTheOthersGuarantees() {
        Quota quota = new Quota(10, S);
        Quota.Member a = quota.join(2, 10);
        quota.join(3, 10);
        for (int i = 0; i < 7; i++) {
            assertTrue("acquire " + i, a.acquire(1, 0));
        }
        assertFalse("the other's guarantee", a.acquire(1, 0));
    }

    @Test
    public void aMemberWhoseDemandHasEndedLeavesItsPartToTheOther() {
        Quota quota = new Quota(10, S);
        Quota.Member a = quota.join(0, 10);
        Quota.Member b = quota.join(0, 10);
        assertTrue(a.acquire(10, 0));
        assertFalse(b.acquire(1, 0));
        assertEquals(5, a.excess(S - 1));
        assertEquals("the demand has ended", 0, a.excess(S));
        a.release(5);
        assertTrue(b.acquire(1, S));
        assertFalse("both want some, and this one has its half", a.acquire(1, S));
        assertTrue("no other member wants any", a.acquire(1, 3 * S));
    }

    @Test
    public void aMemberThatLeftStillReleasesWhatItHolds() {
        Quota quota = new Quota(10, S);
        Quota.Member a = quota.join(6, 10);
        assertTrue(a.acquire(8, 0));
        a.leave();
        assertEquals("the guarantee is free for others", 10, quota.unreserved());
        Quota.Member b = quota.join(6, 6);
        assertTrue(b.acquire(2, 0));
        assertFalse("the rest is still held", b.acquire(1, 0));
        a.release(8);
        assertTrue(b.acquire(4, 0));
        assertThrows(IllegalStateException.class, () -> a.release(1));
        assertThrows(IllegalArgumentException.class, () -> quota.join(5, 5));
    }

    @Test
    public void aResizedMemberKeepsWhatItHolds() {
        Quota quota = new Quota(10, S);
        Quota.Member a = quota.join(4, 10);
        assertTrue(a.acquire(8, 0));
        a.resize(0, 5);
        assertEquals(8, a.borrowed());
        assertFalse(a.acquire(1, 0));
        a.release(4);
        assertTrue(a.acquire(1, 0));
        assertThrows(IllegalArgumentException.class, () -> a.resize(11, 11));
    }

    @Test
    public void belowSaturationAllMayStart() {
        TimeQuota time = new TimeQuota(200 * MS, 0);
        TimeQuota.Member a = time.join(1);
        TimeQuota.Member b = time.join(3);
        a.addUsage(100 * MS, 0);
        assertTrue(a.mayStart(0) && b.mayStart(0));
        assertEquals(0.5, a.usedFraction(0), 0.001);
        assertEquals("the use decays", 0.5 / Math.E, a.usedFraction(200 * MS), 0.001);
    }

    @Test
    public void whenSaturatedAMemberPastItsPartMayNotStart() {
        TimeQuota time = new TimeQuota(200 * MS, 0);
        TimeQuota.Member a = time.join(1);
        TimeQuota.Member b = time.join(3);
        a.addUsage(100 * MS, 0);
        b.addUsage(100 * MS, 0);
        assertFalse("its part is a quarter", a.mayStart(0));
        assertTrue("its part is three quarters", b.mayStart(0));
        b.leave();
        a.setWeight(1);
        assertTrue("no longer saturated", a.mayStart(300 * MS));
    }
}
