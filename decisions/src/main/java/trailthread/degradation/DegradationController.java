package trailthread.degradation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The state machine that sets a node's level of service by its readings. Not thread-safe; no I/O.
 *
 * <p>Going down, the node enters the deepest level of which any condition has been met for {@link
 * Condition#holdNs}, and may skip levels. Going up, it moves by one level at a time: when all
 * conditions of the level have been under their leave bounds for {@link DegradationLevel#leaveNs},
 * no more has been shed in that time than the level above may shed, and the level's minimum stay
 * since the last change is over ({@link FlapDamping}). {@link SheddingDepth} sets how much a level
 * sheds.
 *
 * <p>Counted time: the time between two readings counts only if it is no longer than {@link
 * DegradationPlan#gapNs} and does not run backwards, as a process that was stopped has measured
 * nothing. An unknown value (see {@link Reading#valueIn}) neither enters nor leaves a level, and
 * its time does not count. A reading is ignored before its first known value, and after {@link
 * DegradationPlan#trustNs} without one.
 */
public final class DegradationController {
    private final DegradationPlan plan;
    private final SheddingOrder order;
    private final List<LevelTracker> levels = new ArrayList<>();
    private final SheddingDepth depth;
    private boolean hasReadings;

    /** Time of the last readings, on their clock, ns. */
    private long lastReadAt;

    /** Counted time since the first readings, ns. */
    private long countedNs;

    /** Counted time of the last change of level, ns. */
    private long changedAt;

    /** Index of the level in force. */
    private int current;

    private SheddingPolicy sheddingPolicy;

    /**
     * Creates a controller at full service.
     *
     * @throws IllegalArgumentException that names the field of the plan that is out of range, and
     *     the range
     */
    public DegradationController(DegradationPlan plan, SheddingOrder order) {
        plan.check();
        this.plan = plan;
        this.order = order;
        for (DegradationLevel level : plan.levels) {
            levels.add(new LevelTracker(level, order.classesIn(level.reach()), plan));
        }
        depth = new SheddingDepth(plan);
        renewSheddingPolicy();
    }

    /** The level in force. */
    public DegradationLevel level() {
        return levels.get(current).level();
    }

    /** Which requests the node admits at present; replaced by a new object at every change. */
    public SheddingPolicy sheddingPolicy() {
        return sheddingPolicy;
    }

    /** Updates the level with the latest readings; returns the change of level, if any. */
    public Optional<Change> update(Readings readings) {
        long step = countTime(readings.now());
        for (LevelTracker level : levels) {
            level.update(readings, countedNs, step);
        }
        depth.update(levels.get(current), maxDepthAbove(), step);
        Optional<Change> change = changeLevel(readings.now());
        if (depth.shedClasses() != sheddingPolicy.depth() || change.isPresent()) {
            renewSheddingPolicy();
        }
        return change;
    }

    /**
     * Adds the time since the last readings to the counted time if it counts; returns the time
     * added, ns.
     */
    private long countTime(long now) {
        long elapsed = hasReadings ? now - lastReadAt : 0;
        long step = elapsed < 0 || elapsed > plan.gapNs ? 0 : elapsed;
        hasReadings = true;
        lastReadAt = now;
        countedNs += step;
        return step;
    }

    private int maxDepthAbove() {
        return current == 0 ? 0 : levels.get(current - 1).maxDepth();
    }

    private Optional<Change> changeLevel(long now) {
        int deepest = deepestDue();
        if (deepest > current) {
            return Optional.of(goDown(deepest, now));
        }
        return mayGoUp() ? Optional.of(goUp(now)) : Optional.empty();
    }

    private int deepestDue() {
        for (int i = levels.size() - 1; i > current; i--) {
            if (levels.get(i).isDue()) {
                return i;
            }
        }
        return current;
    }

    private boolean mayGoUp() {
        if (current == 0) {
            return false;
        }
        LevelTracker level = levels.get(current);
        return level.isClearLongEnough()
                && countedNs - changedAt >= level.minStayNs()
                && depth.withinLevelAboveNs() >= level.level().leaveNs();
    }

    private Change goDown(int target, long now) {
        for (int i = current + 1; i <= target; i++) {
            levels.get(i).enter(countedNs);
        }
        LevelTracker entered = levels.get(target);
        depth.enter(entered);
        return moveTo(target, entered.enterCauses(), now);
    }

    private Change goUp(long now) {
        LevelTracker left = levels.get(current);
        left.leave(countedNs);
        depth.returnTo(levels.get(current - 1));
        return moveTo(current - 1, left.leaveCauses(), now);
    }

    private Change moveTo(int target, List<Change.Cause> causes, long now) {
        String from = level().name();
        boolean down = target > current;
        current = target;
        changedAt = countedNs;
        long stayNs = levels.get(target).minStayNs();
        return new Change(from, level().name(), down, now, causes, stayNs);
    }

    private void renewSheddingPolicy() {
        sheddingPolicy = new SheddingPolicy(order, level(), depth.shedClasses(), plan.keep);
    }
}
