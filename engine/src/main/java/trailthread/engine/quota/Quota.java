package trailthread.engine.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides a limited resource, such as open requests, connections or bytes, between members. Each
 * member has a guaranteed amount, which nobody else ever holds, so it can be acquired at any time.
 * What no guarantee covers is lent: to one member alone as long as no other wants any, else in
 * equal parts. A member that holds more than its equal part when another wants some is to return
 * the excess, and is lent nothing until it has; how soon it can is its own matter (an idle
 * connection at once, a request when it ends).
 *
 * <p>Guaranteed amounts that are never lent stay unused while their members are idle. If they were
 * lent, a member would have to wait for the longest request of another in the worst case; see
 * docs/design/pools.md.
 */
public final class Quota {
    private final long total;
    private final long demandNs;
    private final List<Member> members = new ArrayList<>();

    /** What all members hold, those that have left included. */
    private long used;

    /** What members hold beyond their guarantees. */
    private long lent;

    /**
     * Makes a quota without members.
     *
     * @param total the amount to divide, above 0
     * @param demandNs how long a member that asked to borrow counts as wanting some, ns, above 0
     * @throws IllegalArgumentException if either is out of range
     */
    public Quota(long total, long demandNs) {
        if (total <= 0 || demandNs <= 0) {
            throw new IllegalArgumentException("a quota of nothing, or wanted for no time");
        }
        this.total = total;
        this.demandNs = demandNs;
    }

    /**
     * Adds a member.
     *
     * @param guaranteed at least 0
     * @param limit the most that it may hold, its guaranteed amount included
     * @throws IllegalArgumentException if the guarantees add up to more than the total, or the
     *     limit is below the guarantee
     */
    public Member join(long guaranteed, long limit) {
        if (guaranteed < 0 || limit < guaranteed || guaranteed > unreserved()) {
            throw new IllegalArgumentException(
                    "guaranteed "
                            + guaranteed
                            + ", at most "
                            + limit
                            + ", of "
                            + unreserved()
                            + " that are not promised");
        }
        Member member = new Member(guaranteed, limit);
        members.add(member);
        return member;
    }

    /** What no guarantee covers. */
    public long unreserved() {
        long unreserved = total;
        for (Member member : members) {
            unreserved -= member.guaranteed;
        }
        return unreserved;
    }

    /** The amount that is divided. */
    public long total() {
        return total;
    }

    /** What is held in all. */
    public long used() {
        return used;
    }

    /** One of those that share the quota. */
    public final class Member {
        private long guaranteed;
        private long limit;
        private long held;

        /** Until when it counts as wanting to borrow. */
        private long demandUntil = Long.MIN_VALUE;

        private Member(long guaranteed, long limit) {
            this.guaranteed = guaranteed;
            this.limit = limit;
        }

        /**
         * Acquires some, if the member may have it; {@link #release} returns it.
         *
         * @param amount above 0
         * @param now in ns, never before an earlier one
         * @return whether it was acquired
         */
        public boolean acquire(long amount, long now) {
            long toBorrow = Math.max(0, held + amount - guaranteed) - borrowed();
            if (toBorrow > 0 && !mayBorrow(amount, toBorrow, now)) {
                return false;
            }
            // Exceeded only while members that left, or were resized, still hold what is promised
            // to others now.
            if (used + amount > total) {
                return false;
            }
            held += amount;
            used += amount;
            lent += toBorrow;
            return true;
        }

        private boolean mayBorrow(long amount, long toBorrow, long now) {
            if (held + amount > limit) {
                return false;
            }
            long lendable = unreserved();
            demandUntil = now + demandNs;
            return lent + toBorrow <= lendable
                    && borrowed() + toBorrow <= Math.max(toBorrow, equalPart(lendable, now));
        }

        /** An equal part for each member that wants to borrow. */
        private long equalPart(long lendable, long now) {
            int wanting = 0;
            for (Member member : members) {
                if (member.demandUntil > now) {
                    wanting++;
                }
            }
            return lendable / Math.max(1, wanting);
        }

        /**
         * Returns some.
         *
         * @throws IllegalStateException if the member holds less
         */
        public void release(long amount) {
            if (amount > held) {
                throw new IllegalStateException("gives " + amount + " back and holds " + held);
            }
            long before = borrowed();
            held -= amount;
            used -= amount;
            lent -= before - borrowed();
        }

        /**
         * How much of what it has borrowed the member is to return as soon as it can, because
         * others want some.
         */
        public long excess(long now) {
            if (borrowed() == 0 || !othersWantSome(now)) {
                return 0;
            }
            long savedDemand = demandUntil;
            demandUntil = Long.MAX_VALUE; // it counts as wanting what it holds
            long part = equalPart(unreserved(), now);
            demandUntil = savedDemand;
            return Math.max(0, borrowed() - part);
        }

        private boolean othersWantSome(long now) {
            for (Member member : members) {
                if (member != this && member.demandUntil > now) {
                    return true;
                }
            }
            return false;
        }

        /** What it holds. */
        public long held() {
            return held;
        }

        /** What it holds beyond its guarantee. */
        public long borrowed() {
            return Math.max(0, held - guaranteed);
        }

        /**
         * Changes its bounds. What it holds beyond them it keeps until it releases it.
         *
         * @throws IllegalArgumentException as {@link Quota#join} does
         */
        public void resize(long guaranteed, long limit) {
            if (guaranteed < 0
                    || limit < guaranteed
                    || guaranteed > unreserved() + this.guaranteed) {
                throw new IllegalArgumentException(
                        "guaranteed " + guaranteed + ", at most " + limit);
            }
            long before = borrowed();
            this.guaranteed = guaranteed;
            this.limit = limit;
            lent += borrowed() - before;
        }

        /** Acquires nothing more; what it holds it still releases. */
        public void leave() {
            long before = borrowed();
            guaranteed = 0;
            limit = 0;
            demandUntil = Long.MIN_VALUE;
            lent += borrowed() - before;
            members.remove(this);
        }
    }
}
