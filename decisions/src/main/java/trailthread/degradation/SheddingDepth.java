package trailthread.degradation;

import trailthread.degradation.LevelTracker.Pressure;

/**
 * How many classes of the shedding order are shed, the last of them in part: raised while shedding
 * relieves a reading that is too high, lowered once all such readings are low.
 *
 * <p>Under high pressure, what is not yet shed of the level's reach falls by the factor 1/e in
 * {@link DegradationPlan#riseNs}; under low pressure the depth falls by one class in {@link
 * DegradationPlan#recoveryNs}; in between it stands. So the depth settles at what the endpoints
 * bear, and a level need not be left and entered in search of it. What is admitted grows by
 * addition and is cut by multiplication: nodes that share endpoints then end at like depths, where
 * otherwise one sheds all and another nothing (Chiu and Jain, 1989).
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
     * Adapts the depth to the pressure in a level.
     *
     * @param maxDepthAbove how many classes the level above may shed
     * @param step counted time since the update before, ns
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

    /** Fits the depth to a level that is entered from above. */
    void enter(LevelTracker level) {
        shedClasses = Math.min(level.maxDepth(), Math.max(shedClasses, level.entryDepth()));
    }

    /** Fits the depth to a level that is returned to from the one below. */
    void returnTo(LevelTracker level) {
        shedClasses = Math.min(shedClasses, level.maxDepth());
    }
}
