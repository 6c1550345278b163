package trailthread.degradation;

import trailthread.degradation.LevelTracker.Pressure;

/**
 * How many classes of the shedding order are shed, the last of them in part. The depth rises while
 * a reading that shedding relieves is too high, and falls once all such readings are low.
 *
 * <p>Under high pressure, the part of the level's reach that is not yet shed falls to 1/e in {@link
 * DegradationPlan#riseNs}; under low pressure, the depth falls by one class in {@link
 * DegradationPlan#recoveryNs}; in between, it does not change. So the depth settles where the
 * endpoints can serve what is admitted, without a change of level. What is admitted is increased
 * additively and decreased multiplicatively: nodes that share endpoints converge to similar depths,
 * where otherwise one node could shed everything and another nothing (Chiu and Jain, 1989).
 */
final class SheddingDepth {
    private final DegradationPlan plan;
    private double shedClasses;

    /** For how long no more has been shed than the level above may shed, ns. */
    private long withinLevelAboveNs;

    SheddingDepth(DegradationPlan plan) {
        this.plan = plan;
    }

    /** How many classes are shed. */
    double shedClasses() {
        return shedClasses;
    }

    /** For how long no more has been shed than the level above may shed, ns. */
    long withinLevelAboveNs() {
        return withinLevelAboveNs;
    }

    /**
     * Updates the depth by the pressure in a level.
     *
     * @param maxDepthAbove how many classes the level above may shed
     * @param step counted time since the previous update, ns
     */
    void update(LevelTracker level, int maxDepthAbove, long step) {
        Pressure pressure = level.pressure();
        int maxDepth = level.maxDepth();
        if (pressure == Pressure.HIGH) {
            shedClasses =
                    maxDepth - (maxDepth - shedClasses) * Math.exp(-(double) step / plan.riseNs);
        } else if (pressure == Pressure.LOW) {
            shedClasses -= (double) step / plan.recoveryNs;
        }
        double min = level.minDepth(maxDepthAbove);
        shedClasses = Math.min(maxDepth, Math.max(min, shedClasses));
        withinLevelAboveNs = shedClasses <= maxDepthAbove ? withinLevelAboveNs + step : 0;
    }

    /** Bounds the depth for a level that is entered from above. */
    void enter(LevelTracker level) {
        shedClasses = Math.min(level.maxDepth(), Math.max(shedClasses, level.entryDepth()));
    }

    /** Bounds the depth for a level that is returned to from the one below. */
    void returnTo(LevelTracker level) {
        shedClasses = Math.min(shedClasses, level.maxDepth());
    }
}
