package trailthread.degradation;

/**
 * How long a level stays in force at least: longer the more often it is entered again soon after it
 * was left. After RFC 2439, with a penalty, a half-life and a ceiling.
 *
 * <p>Entered for the first time, the penalty is 1. Entered again after a time t for which neither
 * the level nor a deeper one was in force, it is twice what is left of the penalty p: min(mostStay
 * / leastStay, max(1, 2 p 2^(-t / halfLife))). The least stay is the level's own times the penalty:
 * up to twice as long as the time before if it was left just now, as long if a half-life ago, and
 * in the end as at first.
 */
final class FlapDamping {
    /** Factor on the penalty each time that the level is entered. */
    private static final double PENALTY_GROWTH = 2;

    private final long baseStayNs;
    private final DegradationPlan plan;

    /** 0: never entered. */
    private double penalty;

    private long leftAt;
    private long leastStayNs;

    /**
     * Makes the damping of a level that has not been entered.
     *
     * @param baseStayNs the least stay of a level that does not flap, ns
     */
    FlapDamping(long baseStayNs, DegradationPlan plan) {
        this.baseStayNs = baseStayNs;
        this.plan = plan;
        leastStayNs = baseStayNs;
    }

    /** The level is entered at a time, ns. */
    void enter(long now) {
        double ceiling = (double) plan.mostStayNs / baseStayNs;
        double halfLives = (double) (now - leftAt) / plan.halfLifeNs;
        double grown = PENALTY_GROWTH * penalty * Math.pow(0.5, halfLives);
        penalty = Math.min(ceiling, Math.max(1, grown));
        leastStayNs = (long) (baseStayNs * penalty);
    }

    /** The level is left at a time, ns. */
    void leave(long now) {
        leftAt = now;
    }

    /** How long the level stays in force at least, ns. */
    long leastStayNs() {
        return leastStayNs;
    }
}
