package trailthread.engine.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides one thing that there is only so much of: calls, connections, bytes. Each party has a
 * guaranteed part, which nobody else ever holds, so it is there at once. What no guarantee covers
 * is the common rest, and is lent: to one party whole while it alone wants it, else in equal parts.
 * Who holds more than its equal part when another comes to want some owes the difference, and is
 * lent nothing until that is back; how soon it gives back is its own matter (a connection that
 * idles at once, a call with its end).
 *
 * <p>Guarantees that are never lent leave some unused while their parties rest. The other way,
 * lending them with notice, makes a guarantee worth the longest call's length at the worst moment;
 * see docs/design/pools.md.
 */
public final class Quota {
    private final long total;
    private final long wantedNs;
    private final List<Party> parties = new ArrayList<>();

    /** Of all parties, those that have left too. */
    private long used;

    /** What parties hold past their guarantees. */
    private long lent;

    /**
     * Makes one that nobody shares yet.
     *
     * @param total how much there is, above 0
     * @param wantedNs how long a party that was not lent what it wanted counts as wanting, in ns
     */
    public Quota(long total, long wantedNs) {
        if (total <= 0 || wantedNs <= 0) {
            throw new IllegalArgumentException("a quota of nothing, or wanted for no time");
        }
        this.total = total;
        this.wantedNs = wantedNs;
    }

    /**
     * Adds a party.
     *
     * @param guaranteed at least 0; over all parties no more than there is
     * @param most what it may hold at most, its guaranteed part included
     * @throws IllegalArgumentException if the guarantees come to more than there is
     */
    public Party join(long guaranteed, long most) {
        if (guaranteed < 0 || most < guaranteed || guaranteed > unpromised()) {
            throw new IllegalArgumentException(
                    "guaranteed "
                            + guaranteed
                            + ", at most "
                            + most
                            + ", of "
                            + unpromised()
                            + " that are not promised");
        }
        Party party = new Party(guaranteed, most);
        parties.add(party);
        return party;
    }

    /** What no guarantee covers. */
    public long unpromised() {
        long rest = total;
        for (Party party : parties) {
            rest -= party.guaranteed;
        }
        return rest;
    }

    /** How much there is in all. */
    public long total() {
        return total;
    }

    /** How much is held in all. */
    public long used() {
        return used;
    }

    /** One that shares. */
    public final class Party {
        private long guaranteed;
        private long most;
        private long holds;

        /** Until when it counts as wanting some of the rest. */
        private long wantsUntil = Long.MIN_VALUE;

        private Party(long guaranteed, long most) {
            this.guaranteed = guaranteed;
            this.most = most;
        }

        /**
         * Takes some, if it may have it.
         *
         * @param amount above 0
         * @param now in ns, never before an earlier one
         */
        public boolean take(long amount, long now) {
            long borrows = Math.max(0, holds + amount - guaranteed) - borrowed();
            if (borrows > 0 && !mayBorrow(amount, borrows, now)) {
                return false;
            }
            // Short only where parties that left, or were given less, have not given all back yet.
            if (used + amount > total) {
                return false;
            }
            holds += amount;
            used += amount;
            lent += borrows;
            return true;
        }

        private boolean mayBorrow(long amount, long borrows, long now) {
            if (holds + amount > most) {
                return false;
            }
            long rest = unpromised();
            wantsUntil = now + wantedNs;
            return lent + borrows <= rest
                    && borrowed() + borrows <= Math.max(borrows, part(rest, now));
        }

        /** Its part of the rest, by how many want some. */
        private long part(long rest, long now) {
            int wanting = 0;
            for (Party party : parties) {
                wanting += party.wantsUntil > now ? 1 : 0;
            }
            return rest / Math.max(1, wanting);
        }

        /** Gives some back. */
        public void give(long amount) {
            if (amount > holds) {
                throw new IllegalStateException("gives " + amount + " back and holds " + holds);
            }
            long before = borrowed();
            holds -= amount;
            used -= amount;
            lent -= before - borrowed();
        }

        /**
         * How much of what it was lent it is to give back as soon as it can, because others want
         * some.
         */
        public long owes(long now) {
            boolean othersWant = false;
            for (Party party : parties) {
                othersWant |= party != this && party.wantsUntil > now;
            }
            if (!othersWant || borrowed() == 0) {
                return 0;
            }
            long wantedUntil = wantsUntil;
            wantsUntil = Long.MAX_VALUE; // what it holds it wants
            long part = part(unpromised(), now);
            wantsUntil = wantedUntil;
            return Math.max(0, borrowed() - part);
        }

        /** What it holds. */
        public long holds() {
            return holds;
        }

        /** What it holds past its guaranteed part. */
        public long borrowed() {
            return Math.max(0, holds - guaranteed);
        }

        /**
         * Has other bounds from now on; what it holds past them it keeps until it gives it back.
         */
        public void change(long guaranteed, long most) {
            if (guaranteed < 0
                    || most < guaranteed
                    || guaranteed > unpromised() + this.guaranteed) {
                throw new IllegalArgumentException(
                        "guaranteed " + guaranteed + ", at most " + most);
            }
            long before = borrowed();
            this.guaranteed = guaranteed;
            this.most = most;
            lent += borrowed() - before;
        }

        /** Takes no more from now on; what it holds it gives back in time. */
        public void leave() {
            long before = borrowed();
            guaranteed = 0;
            most = 0;
            wantsUntil = Long.MIN_VALUE;
            lent += borrowed() - before;
            parties.remove(this);
        }
    }
}
