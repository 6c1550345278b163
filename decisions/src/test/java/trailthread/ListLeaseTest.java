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
        lease.confirmed(NOW);
        assertTrue(lease.isHeld(NOW + LEASE_NS - 1));
        assertFalse(lease.isHeld(NOW + LEASE_NS));
    }

    @Test
    public void anOlderConfirmationDoesNotShortenTheLease() {
        lease.confirmed(NOW);
        lease.confirmed(NOW - 1);
        assertEquals(NOW + LEASE_NS, lease.until());
    }

    @Test
    public void aPollThatFailsAtOnceRenewsTheLease() {
        lease.pollFailed(NOW - ListLease.QUEUED_POLL_NS + 1, NOW);
        assertEquals(NOW + LEASE_NS, lease.until());
    }

    @Test
    public void theFirstQueuedPollThatFailsAfterAStartRenewsNothing() {
        lease.pollFailed(NOW - ListLease.QUEUED_POLL_NS, NOW);
        assertFalse(lease.isHeld(NOW));
        long next = NOW + 5_000 * MS;
        lease.pollFailed(next - ListLease.QUEUED_POLL_NS, next);
        assertEquals(next + LEASE_NS, lease.until());
    }

    @Test
    public void failedPollsRenewTheLeaseThroughoutAnOutage() {
        lease.confirmed(NOW);
        for (long at = NOW + 5_000 * MS; at < NOW + 60_000 * MS; at += 6_000 * MS) {
            assertTrue(lease.isHeld(at));
            lease.pollFailed(at - 2 * ListLease.QUEUED_POLL_NS, at);
        }
    }

    @Test
    public void aGraceShorterThanTheWriteDelayCountsAsNone() {
        lease.retune(ListLease.MAX_WRITE_DELAY_NS / 2, false);
        lease.confirmed(NOW);
        assertEquals(NOW + ListLease.NOTIFICATION_DUE_NS, lease.until());
    }

    @Test
    public void aPushedListIsLeasedWithoutEndForAsLongAsListsArePushed() {
        lease.retune(GRACE_NS, true);
        assertFalse(lease.isHeld(NOW));
        lease.pollFailed(NOW - 2 * ListLease.QUEUED_POLL_NS, NOW);
        assertEquals(Long.MAX_VALUE, lease.until());
        lease.retune(GRACE_NS, false);
        assertEquals(NOW + LEASE_NS, lease.until());
    }

    @Test
    public void changesByAnotherAgentCountAsNotifiedFourSecondsAfterTheSwitch() {
        lease.retune(GRACE_NS, true);
        lease.confirmed(NOW);
        lease.recordSourceSwitch(NOW + 10_000 * MS);
        assertEquals(NOW + 14_000 * MS + GRACE_NS - ListLease.MAX_WRITE_DELAY_NS, lease.until());
        lease.confirmed(NOW + 11_000 * MS);
        assertEquals(Long.MAX_VALUE, lease.until());
    }
}
