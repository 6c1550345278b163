package trailthread.engine.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides a limited resource, such as open requests, connections or bytes, between members. Each
 * member has a guaranteed amount, which no other member ever holds, so it can be acquired at any
 * time. What no guarantee covers is lent: all of it to a single member as long as no other wants
 * any, else in equal parts. A member that has borrowed more than its equal part when another wants
 * some is to return the excess, and is lent nothing until it has. How soon that is depends on the
 * resource (an idle connection at once, a request when it ends).
 *
 * <p>Guaranteed amounts are never lent, so they stay unused while their members are idle. Prevents
 * a member from waiting for its guaranteed amount until another member's longest request ends; see
 * docs/design/pools.md.
 */
public final class Quota {
    private final long total;
    private final long demandNs;
    private final List<Member> members = new ArrayList<>();

    /** What all members hold, including members that have left. */
    private long used;

    /** What members hold beyond their guarantees. */
    private long lent;

    /**
     * Creates a quota without members.
     *
     * @param total the amount to divide, above 0
     * @param demandNs how long a member counts as wanting to borrow after it tried to, ns, above 0
     * @throws IllegalArgumentException if either is out of range
     */
    public Quota(long total, long demandNs) {
        if (total <= 0 || demandNs <= 0) {
            throw new IllegalArgumentException(
                    "expected a total and a demand time above 0, got "
                            + total
                            + " and "
                            + demandNs);
        }
        this.total = total;
        this.demandNs = demandNs;
    }

    /**
     * Adds a member.
     *
     * @param guaranteed the guaranteed amount, at least 0
     * @param limit the most that it may hold, its guaranteed amount included
     * @throws IllegalArgumentException if the guarantees add up to more than the total, or the
     *     limit is below the guarantee
     */
    public Member join(long guaranteed, long limit) {
        if (guaranteed < 0 || limit < guaranteed || guaranteed > unreserved()) {
            throw new IllegalArgumentException(
                    "guaranteed "
                            + guaranteed
                            + ", limit "
                            + limit
                            + ", where "
                            + unreserved()
                            + " are not guaranteed to other members");
        }
        Member member = new Member(guaranteed, limit);
        members.add(member);
        return member;
    }

    /** Returns the amount that no guarantee covers. */
    public long unreserved() {
        long unreserved = total;
        for (Member member : members) {
            unreserved -= member.guaranteed;
        }
        return unreserved;
    }

    /** Returns the amount that is divided. */
    public long total() {
        return total;
    }

    /** Returns what all members hold, including members that have left. */
    public long used() {
        return used;
    }

    /** A member that shares the quota. */
    public final class Member {
        private long guaranteed;
        private long limit;
        private long held;

        /** Until when the member counts as wanting to borrow. */
        private long demandUntil = Long.MIN_VALUE;

        private Member(long guaranteed, long limit) {
            this.guaranteed = guaranteed;
            this.limit = limit;
        }

        /**
         * Acquires an amount if the member may have it; {@link #release} returns it.
         *
         * @param amount above 0
         * @param now in ns, never less than in an earlier call
         * @return whether it was acquired
         */
        public boolean acquire(long amount, long now) {
            long toBorrow = Math.max(0, held + amount - guaranteed) - borrowed();
            if (toBorrow > 0 && !mayBorrow(amount, toBorrow, now)) {
                return false;
            }
            // Only exceeded while members that left or were resized still hold what is guaranteed
            // to others now.
            if (used + amount > total) {
                return false;
            }
            held += amount;
            used += amount;
            lent += toBorrow;
            return true;
        }

        /**
         * Returns whether the member may borrow so much. Records that it wants to, unless that
         * would exceed its limit.
         */
        private boolean mayBorrow(long amount, long toBorrow, long now) {
            if (held + amount > limit) {
                return false;
            }
            long lendable = unreserved();
            demandUntil = now + demandNs;
            return lent + toBorrow <= lendable
                    && borrowed() + toBorrow <= Math.max(toBorrow, equalPart(lendable, now));
        }

        /** Returns an equal part for each member that wants to borrow. */
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
         * Returns an acquired amount.
         *
         * @throws IllegalStateException if the member holds less
         */
        public void release(long amount) {
            if (amount > held) {
                throw new IllegalStateException("releases " + amount + " but holds " + held);
            }
            long before = borrowed();
            held -= amount;
            used -= amount;
            lent -= before - borrowed();
        }

        /**
         * Returns how much of what the member has borrowed it is to return as soon as it can,
         * because other members want some.
         */
        public long excess(long now) {
            if (borrowed() == 0 || !othersWantToBorrow(now)) {
                return 0;
            }
            long savedDemand = demandUntil;
            demandUntil = Long.MAX_VALUE; // the member counts as wanting what it holds
            long part = equalPart(unreserved(), now);
            demandUntil = savedDemand;
            return Math.max(0, borrowed() - part);
        }

        private boolean othersWantToBorrow(long now) {
            for (Member member : members) {
                if (member != this && member.demandUntil > now) {
                    return true;
                }
            }
            return false;
        }

        /** Returns what the member holds. */
        public long held() {
            return held;
        }

        /** Returns what the member holds beyond its guarantee. */
        public long borrowed() {
            return Math.max(0, held - guaranteed);
        }

        /**
         * Changes the member's bounds. What it holds beyond them stays acquired until it releases
         * it.
         *
         * @throws IllegalArgumentException as {@link Quota#join} does
         */
        public void resize(long guaranteed, long limit) {
            if (guaranteed < 0
                    || limit < guaranteed
                    || guaranteed > unreserved() + this.guaranteed) {
                throw new IllegalArgumentException("guaranteed " + guaranteed + ", limit " + limit);
            }
            long before = borrowed();
            this.guaranteed = guaranteed;
            this.limit = limit;
            lent += borrowed() - before;
        }

        /**
         * Removes the member from the quota. It acquires nothing more, but still releases what it
         * holds.
         */
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
