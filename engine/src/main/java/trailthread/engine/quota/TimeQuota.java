package trailthread.engine.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides the time of one thread between members by weight. While the thread is not saturated, each
 * member uses what it needs; once it is, a member that has recently used more than its part may not
 * start anything new. Use decays exponentially, as in a leaky bucket (Turner, "New Directions in
 * Communications", 1986).
 */
public final class TimeQuota {
    /** The utilization from which on the thread counts as saturated. */
    private static final double SATURATED_UTILIZATION = 0.9;

    private final double decayNs;
    private final List<Member> members = new ArrayList<>();
    private double usedNs;
    private long decayedAt;

    /**
     * Creates a quota without members.
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
     * @param weight the weight relative to those of the other members, above 0
     * @throws IllegalArgumentException if it is not above 0
     */
    public Member join(double weight) {
        if (!(weight > 0)) {
            throw new IllegalArgumentException("expected a weight above 0, got " + weight);
        }
        Member member = new Member(weight);
        members.add(member);
        return member;
    }

    /** Returns the fraction of the thread's time that all members together use, 0 to about 1. */
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

    /** A member that shares the thread. */
    public final class Member {
        private double weight;
        private double ownNs;

        private Member(double weight) {
            this.weight = weight;
        }

        /** Records time that the thread has worked for the member, ns. */
        public void addUsage(long ns, long now) {
            decay(now);
            ownNs += ns;
            usedNs += ns;
        }

        /** Returns whether something new may be started for the member. */
        public boolean mayStart(long now) {
            if (utilization(now) < SATURATED_UTILIZATION) {
                return true;
            }
            double weights = 0;
            for (int i = 0; i < members.size(); i++) {
                weights += members.get(i).weight;
            }
            return ownNs <= usedNs * weight / weights;
        }

        /** Returns the fraction of the thread's time that the member uses, 0 to about 1. */
        public double usedFraction(long now) {
            decay(now);
            return ownNs / decayNs;
        }

        /** Changes the member's weight, above 0. */
        public void setWeight(double weight) {
            this.weight = weight;
        }

        /** Removes the member from the quota. */
        public void leave() {
            members.remove(this);
        }
    }
}
