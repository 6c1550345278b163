package trailthread;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** What renews the lease on the endpoint list, and for how long. */
public class ListLeaseTest {
    private static final long MS = 1_000_000L;
    private static final long GRACE_NS = 500 * MS;
    private static final long LEASE_NS =
            ListLease.NOTIFICATION_DUE_NS + GRACE_NS - ListLease.MAX_WRITE_DELAY_NS;
    private static final long NOW = -7_000_000 * MS; // the clock may start anywhere
    private final ListLease lease = new ListLease(GRACE_NS, false);

    @Test
    public void aLeaseIsNotHeldAtTheStart() {
        assertFalse(lease.isHeld(NOW));
        assertEquals(Long.MIN_VALUE, lease.until());
    }

    @Test
    public void aConfirmedListIsLeasedUntilChangesCountAsNotifiedAndTheGraceIsOver() {
        lease.renew(NOW);
        assertTrue(lease.isHeld(NOW + LEASE_NS - 1));
        assertFalse(lease.isHeld(NOW + LEASE_NS));
    }

    @Test
    public void anOlderConfirmationDoesNotShortenTheLease() {
        lease.renew(NOW);
        lease.renew(NOW - 1);
        assertEquals(NOW + LEASE_NS, lease.until());
    }

    @Test
    public void aPollThatFailsAtOnceRenewsTheLease() {
        lease.recordPollFailure(NOW - ListLease.QUEUED_POLL_NS + 1, NOW);
        assertEquals(NOW + LEASE_NS, lease.until());
    }

    /** Guards against requests by an old list while discovery is up and has too many callers. */
    @Test
    public void pollsThatWaitAndFailRenewNothing() {
        for (long waitedNs : new long[] {ListLease.QUEUED_POLL_NS, 800 * MS, 1_500 * MS}) {
            ListLease started = new ListLease(GRACE_NS, false);
            started.recordPollFailure(NOW - waitedNs, NOW);
            started.recordPollFailure(NOW + 5_000 * MS - waitedNs, NOW + 5_000 * MS);
            assertFalse(started.isHeld(NOW + 5_000 * MS));
            started.renew(NOW);
            started.recordPollFailure(NOW + 5_000 * MS - waitedNs, NOW + 5_000 * MS);
            assertEquals(NOW + LEASE_NS, started.until());
        }
    }

    @Test
    public void pollsThatFailAtOnceRenewTheLeaseThroughoutAnOutage() {
        lease.renew(NOW);
        for (long at = NOW + 5_000 * MS; at < NOW + 60_000 * MS; at += 6_000 * MS) {
            assertTrue(lease.isHeld(at));
            lease.recordPollFailure(at - ListLease.QUEUED_POLL_NS + 1, at);
        }
    }

    @Test
    public void aGraceShorterThanTheWriteDelayCountsAsNone() {
        lease.applySettings(ListLease.MAX_WRITE_DELAY_NS / 2, false);
        lease.renew(NOW);
        assertEquals(NOW + ListLease.NOTIFICATION_DUE_NS, lease.until());
    }

    @Test
    public void aPushedListIsLeasedWithoutEndForAsLongAsListsArePushed() {
        lease.applySettings(GRACE_NS, true);
        assertFalse(lease.isHeld(NOW));
        lease.recordPollFailure(NOW - 2 * ListLease.QUEUED_POLL_NS, NOW);
        assertEquals(Long.MAX_VALUE, lease.until());
        lease.applySettings(GRACE_NS, false);
        assertEquals(NOW + LEASE_NS, lease.until());
    }

    @Test
    public void changesByAnotherAgentCountAsNotifiedFourSecondsAfterTheSwitch() {
        lease.applySettings(GRACE_NS, true);
        lease.renew(NOW);
        lease.recordSourceSwitch(NOW + 10_000 * MS);
        assertEquals(NOW + 14_000 * MS + GRACE_NS - ListLease.MAX_WRITE_DELAY_NS, lease.until());
        lease.renew(NOW + 11_000 * MS);
        assertEquals(Long.MAX_VALUE, lease.until());
    }
}
