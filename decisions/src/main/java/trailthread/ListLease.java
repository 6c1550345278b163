package trailthread;

/**
 * A lease on the list of endpoints: until when a node may send by the list that it holds.
 *
 * <p>A change counts as told {@link #NEWS_DUE_NS} after discovery had it, also to a node that did
 * not hear of it, unless discovery could not be reached. So each sign of life of a watch renews the
 * lease for that time and the grace of drains, and so does proof that discovery can't be reached. A
 * process that has just started holds none: how old the list is that it was given is not known.
 *
 * <p>Pure: times are handed in, in nanoseconds of one clock that never goes back.
 */
public final class ListLease {
    /** What changes counts as told so long after it was made, whether or not it came. */
    public static final long NEWS_DUE_NS = 6_000_000_000L;

    /**
     * A node may be held up for so long between reading its clock and writing; a grace has to cover
     * it.
     */
    public static final long HELD_UP_NS = 150_000_000L;

    /** A call that fails sooner did not wait in a queue: discovery is down, or cut off. */
    public static final long QUEUED_NS = 1_200_000_000L;

    /** Where lists are pushed, another agent's counts as told so long after the move. */
    public static final long MOVED_NS = 4_000_000_000L;

    private long graceNs;
    private boolean pushed;
    private boolean renewed;

    /** A call has waited and failed since the start. */
    private boolean waitedInVain;

    /** When it was renewed last. */
    private long renewedAt;

    /** Since it was renewed last, another discovery has become the source. */
    private boolean moved;

    private long movedAt;

    /**
     * Makes a lease that is not held.
     *
     * @param drainGraceNs how long after the news of a drain something may still be sent
     * @param pushed whether an agent beside the node keeps the list: it has few callers, and while
     *     it says nothing, there is nothing that it could have told
     */
    public ListLease(long drainGraceNs, boolean pushed) {
        retune(drainGraceNs, pushed);
    }

    /** Other settings hold from now on, as in the constructor. */
    public void retune(long drainGraceNs, boolean isPushed) {
        graceNs = usableGraceNs(drainGraceNs);
        pushed = isPushed;
    }

    /** What is left of a grace when a node may be held up before it writes. */
    public static long usableGraceNs(long graceNs) {
        return Math.max(0, graceNs - HELD_UP_NS);
    }

    /** Discovery has told all that had changed up to this time. */
    public void confirmed(long asOf) {
        renewedAt = renewed ? Math.max(renewedAt, asOf) : asOf;
        renewed = true;
        moved = false;
    }

    /** Another discovery is the source from now on. */
    public void moved(long now) {
        moved = true;
        movedAt = now;
    }

    /**
     * A call to discovery was refused, or broke before there was an answer. What changes while
     * discovery can't be reached is told after its return. But a call that has waited may have met
     * a crowd: where most of a fleet has just started, one in vain proves nothing; the calls of a
     * fleet at work are spread, and meet none.
     *
     * @param waitedSince since when it may have waited at discovery
     */
    public void callFailed(long waitedSince, long now) {
        boolean waited = now - waitedSince >= QUEUED_NS;
        if (pushed || renewed || !waited || waitedInVain) {
            confirmed(now);
        }
        waitedInVain |= waited;
    }

    /** Whether it is held. */
    public boolean isHeld(long now) {
        return now < until();
    }

    /** Nothing is sent then or later; {@link Long#MIN_VALUE} where it was never held. */
    public long until() {
        if (!renewed) {
            return Long.MIN_VALUE;
        }
        if (pushed) {
            return moved ? movedAt + MOVED_NS + graceNs : Long.MAX_VALUE;
        }
        return renewedAt + NEWS_DUE_NS + graceNs;
    }
}
