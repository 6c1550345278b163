package trailthread;

/**
 * A lease on the endpoint list: until when a node may send requests by the list that it holds.
 *
 * <p>A node counts as notified of a change {@link #NOTIFICATION_DUE_NS} after discovery had it,
 * whether or not the update arrived, unless discovery could not be reached. So the lease is renewed
 * by each message on a watch, and by proof that discovery cannot be reached. A poll that discovery
 * took and kept waiting is no such proof, however it ends: discovery may be up and crowded. The
 * lease lasts for that time plus the grace of draining endpoints. A process that has just started
 * holds no lease, as the age of its first list is not known.
 *
 * <p>No I/O and no clock of its own: times are passed in, in ns of one monotonic clock, which may
 * start anywhere.
 */
public final class ListLease {
    /** A node counts as notified of a change after this time, ns. */
    public static final long NOTIFICATION_DUE_NS = 6_000_000_000L;

    /**
     * The longest time that a node is expected to be suspended between reading its clock and
     * writing a request, ns; it is taken off the grace of draining endpoints.
     */
    public static final long MAX_WRITE_DELAY_NS = 150_000_000L;

    /**
     * A poll that fails sooner than this after it was sent did not wait in a queue: discovery is
     * down, or cannot be reached; ns.
     */
    public static final long QUEUED_POLL_NS = 100_000_000L;

    /**
     * Where agents push the list, a node counts as notified by another agent this time after the
     * switch to that agent, ns.
     */
    public static final long SOURCE_SWITCH_NS = 4_000_000_000L;

    private long graceNs;

    /** Whether an agent beside the node pushes the list. */
    private boolean pushed;

    /** Whether the lease has been renewed since the start. */
    private boolean renewed;

    private long renewedAt;

    /** Whether another discovery has become the source since the lease was renewed. */
    private boolean sourceSwitched;

    private long sourceSwitchedAt;

    /**
     * Creates a lease that is not held.
     *
     * @param drainGraceNs how long after the notice of an endpoint's draining a request may still
     *     be sent to it, ns
     * @param pushed whether an agent beside the node pushes the list. An agent has few clients, so
     *     that a poll is never queued, and while it is silent, there is no change to be notified of
     */
    public ListLease(long drainGraceNs, boolean pushed) {
        applySettings(drainGraceNs, pushed);
    }

    /** Changes the settings, as in the constructor. Earlier renewals of the lease still count. */
    public void applySettings(long drainGraceNs, boolean isPushed) {
        graceNs = usableGraceNs(drainGraceNs);
        pushed = isPushed;
    }

    /**
     * A grace less {@link #MAX_WRITE_DELAY_NS}, ns, at least 0: the node may be suspended before it
     * writes.
     */
    public static long usableGraceNs(long graceNs) {
        return Math.max(0, graceNs - MAX_WRITE_DELAY_NS);
    }

    /** Renews the lease: discovery has notified the node of all changes made up to a time. */
    public void renew(long asOf) {
        renewedAt = renewed ? Math.max(renewedAt, asOf) : asOf;
        renewed = true;
        sourceSwitched = false;
    }

    /** Records that another discovery is the source of the list from now on. */
    public void recordSourceSwitch(long now) {
        sourceSwitched = true;
        sourceSwitchedAt = now;
    }

    /**
     * Records that a poll of discovery was refused, or that its connection broke before there was a
     * response. If discovery had no time to queue the poll, it cannot be reached. Changes made
     * meanwhile are notified after its return, so this renews the lease.
     *
     * <p>A poll that waited renews nothing. It may have waited behind those of other nodes, to
     * which discovery announces changes.
     *
     * @param waitedSince since when the poll may have been queued at discovery
     */
    public void recordPollFailure(long waitedSince, long now) {
        boolean mayHaveBeenQueued = now - waitedSince >= QUEUED_POLL_NS;
        if (pushed || !mayHaveBeenQueued) {
            renew(now);
        }
    }

    /** Whether requests may be sent by the list. */
    public boolean isHeld(long now) {
        return now < until();
    }

    /**
     * When the lease ends: no request is sent then or later. {@link Long#MIN_VALUE} if it was never
     * held, {@link Long#MAX_VALUE} if it does not end.
     */
    public long until() {
        if (!renewed) {
            return Long.MIN_VALUE;
        }
        if (!pushed) {
            return renewedAt + NOTIFICATION_DUE_NS + graceNs;
        }
        return sourceSwitched ? sourceSwitchedAt + SOURCE_SWITCH_NS + graceNs : Long.MAX_VALUE;
    }
}
