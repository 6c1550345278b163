package trailthread.engine.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides the time of one thread. While it has time left, each party takes what it needs; once it
 * has none, a party that has used more than its share of late begins nothing new. What is used
 * fades with the time constant of the span, as in a leaky bucket (Turner, "New Directions in
 * Communications", 1986).
 */
public final class TimeQuota {
    /** From this share of the time in use on, there is none to spare. */
    private static final double FULL = 0.9;

    private final double spanNs;
    private final List<Party> parties = new ArrayList<>();
    private double usedNs;
    private long at;

    /**
     * Makes one that nobody shares yet.
     *
     * @param spanNs how far back use counts, in ns
     */
    public TimeQuota(long spanNs, long now) {
        this.spanNs = spanNs;
        at = now;
    }

    /** Adds a party of this weight against the others', above 0. */
    public Party join(double weight) {
        if (!(weight > 0)) {
            throw new IllegalArgumentException("a weight of " + weight);
        }
        Party party = new Party(weight);
        parties.add(party);
        return party;
    }

    /** The share of the thread's time that all parties together use, 0 to about 1. */
    public double busy(long now) {
        fade(now);
        return usedNs / spanNs;
    }

    private void fade(long now) {
        if (now > at) {
            double kept = Math.exp(-(now - at) / spanNs);
            usedNs *= kept;
            for (int i = 0; i < parties.size(); i++) {
                parties.get(i).ownNs *= kept;
            }
            at = now;
        }
    }

    /** One that shares. */
    public final class Party {
        private double weight;
        private double ownNs;

        private Party(double weight) {
            this.weight = weight;
        }

        /** Some time was used for it. */
        public void used(long ns, long now) {
            fade(now);
            ownNs += ns;
            usedNs += ns;
        }

        /** Whether something new may be begun for it. */
        public boolean mayBegin(long now) {
            if (busy(now) < FULL) {
                return true;
            }
            double weights = 0;
            for (int i = 0; i < parties.size(); i++) {
                weights += parties.get(i).weight;
            }
            return ownNs <= usedNs * weight / weights;
        }

        /** The share of the thread's time that it uses, 0 to about 1. */
        public double share(long now) {
            fade(now);
            return ownNs / spanNs;
        }

        /** Has another weight from now on. */
        public void change(double weight) {
            this.weight = weight;
        }

        /** Uses none from now on. */
        public void leave() {
            parties.remove(this);
        }
    }
}
