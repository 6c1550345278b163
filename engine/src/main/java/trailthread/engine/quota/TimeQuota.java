package trailthread.engine.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides the time of one thread between members by weight. While the thread is not saturated, each
 * member uses what it needs; once it is, a member that has used more than its part of late starts
 * nothing new. Use decays exponentially, as in a leaky bucket (Turner, "New Directions in
 * Communications", 1986).
 */
public final class TimeQuota {
    /** The fraction of the time in use from which on the thread counts as saturated. */
    private static final double SATURATED = 0.9;

    private final double decayNs;
    private final List<Member> members = new ArrayList<>();
    private double usedNs;
    private long decayedAt;

    /**
     * Makes a quota without members.
     *
     * @param decayNs the time constant by which use decays, ns
     * @param now in ns
     */
    public TimeQuota(long decayNs, long now) {
        this.decayNs = decayNs;
        decayedAt = now;
    }

    /**
     * Adds a member.
     *
     * @param weight against the other members' weights, above 0
     * @throws IllegalArgumentException if it is not above 0
     */
    public Member join(double weight) {
        if (!(weight > 0)) {
            throw new IllegalArgumentException("a weight of " + weight);
        }
        Member member = new Member(weight);
        members.add(member);
        return member;
    }

    /** The fraction of the thread's time that all members together use, 0 to about 1. */
    public double utilization(long now) {
        decay(now);
        return usedNs / decayNs;
    }

    private void decay(long now) {
        if (now > decayedAt) {
            double factor = Math.exp(-(now - decayedAt) / decayNs);
            usedNs *= factor;
            for (int i = 0; i < members.size(); i++) {
                members.get(i).ownNs *= factor;
            }
            decayedAt = now;
        }
    }

    /** One of those that share the thread. */
    public final class Member {
        private double weight;
        private double ownNs;

        private Member(double weight) {
            this.weight = weight;
        }

        /** Adds time that the thread has worked for it, ns. */
        public void used(long ns, long now) {
            decay(now);
            ownNs += ns;
            usedNs += ns;
        }

        /** Whether something new may be started for it. */
        public boolean mayStart(long now) {
            if (utilization(now) < SATURATED) {
                return true;
            }
            double weights = 0;
            for (int i = 0; i < members.size(); i++) {
                weights += members.get(i).weight;
            }
            return ownNs <= usedNs * weight / weights;
        }

        /** The fraction of the thread's time that it uses, 0 to about 1. */
        public double fraction(long now) {
            decay(now);
            return ownNs / decayNs;
        }

        /** Sets another weight, above 0. */
        public void setWeight(double weight) {
            this.weight = weight;
        }

        /** Uses no time from now on. */
        public void leave() {
            members.remove(this);
        }
    }
}
