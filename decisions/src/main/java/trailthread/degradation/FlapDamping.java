package trailthread.degradation;

/**
 * The minimum stay of a level, which is the shortest time that the level stays in force. It grows
 * each time that the level is entered again soon after it was left. As in route flap damping (RFC
 * 2439), there is a penalty with a half-life and a ceiling.
 *
 * <p>The penalty is 1 when the level is entered for the first time. When it is entered again, after
 * a time t in which neither the level nor a deeper one was in force, the penalty p becomes {@code
 * min(maxStay / minStay, max(1, 2 p 2^(-t / halfLife)))}. The minimum stay is the level's own
 * minimum stay times the penalty: twice as long as before if the level was left just now, the same
 * if it was left one half-life ago, and back to the level's own after a long time.
 */
final class FlapDamping {
    /** Factor on the penalty each time that the level is entered. */
    private static final double PENALTY_GROWTH = 2;

    private final long baseStayNs;
    private final DegradationPlan plan;

    /** 0: the level was never entered. */
    private double penalty;

    private long leftAt;
    private long minStayNs;

    /**
     * Creates the damping of a level that has not been entered.
     *
     * @param baseStayNs the minimum stay of a level that does not flap, ns
     */
    FlapDamping(long baseStayNs, DegradationPlan plan) {
        this.baseStayNs = baseStayNs;
        this.plan = plan;
        minStayNs = baseStayNs;
    }

    /** Records that the level is entered at a time, ns. */
    void enter(long now) {
        double ceiling = (double) plan.maxStayNs / baseStayNs;
        double halfLives = (double) (now - leftAt) / plan.halfLifeNs;
        double grown = PENALTY_GROWTH * penalty * Math.pow(0.5, halfLives);
        penalty = Math.min(ceiling, Math.max(1, grown));
        minStayNs = (long) (baseStayNs * penalty);
    }

    /** Records that the level is left at a time, ns. */
    void leave(long now) {
        leftAt = now;
    }

    /** How long the level stays in force at least, ns. */
    long minStayNs() {
        return minStayNs;
    }
}
