package trailthread.degradation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The level of service that a node is at: a state machine, fed with readings. Not thread-safe; no
 * I/O.
 *
 * <p>Down: to the deepest level of which any condition has held for its time, past several at once.
 * Up: one level at a time, when all conditions of the level have been under their leave bounds for
 * its time, no more has been shed in that time than the level above may shed, and its least stay
 * since the last change is over.
 *
 * <p>Thinning: while a reading that shedding relieves is at or over the level's enter bound, what
 * is not yet shed of the level's reach falls by the factor 1/e in {@link DegradationPlan#riseNs};
 * while all are under their leave bounds, the depth falls by one class in {@link
 * DegradationPlan#overloadWindowNs}; in between it stands. So the depth settles at what the workers
 * bear, and the level need not be left and entered in search of it. What is taken grows by addition
 * and is cut by multiplication: nodes that share workers then end at like depths, where otherwise
 * one sheds all and another nothing (Chiu and Jain, 1989).
 *
 * <p>Flapping, after RFC 2439 (penalty, half-life, ceiling): each level has a penalty p. Entered
 * for the first time, p = 1; entered again after a time t for which neither it nor a deeper level
 * was in force, p = min(mostStay / leastStay, max(1, 2 p 2^(-t / halfLife))). It then stays
 * leastStay p at least: up to twice as long as the time before if it was left just now, as long if
 * a half-life ago, and in the end as at first.
 *
 * <p>Time between two readings counts only if it is no longer than {@link DegradationPlan#gapNs},
 * and does not run backwards. A value that is unknown (see {@link Reading#of}) neither enters nor
 * leaves: that time does not count. After {@link DegradationPlan#trustNs} without a known value, as
 * before the first, a reading takes no part.
 */
public final class DegradationController {
    private final DegradationPlan plan;
    private final SheddingOrder order;
    private final List<Stage> stages = new ArrayList<>();
    private boolean begun;
    private long lastAt;

    /** Time that counted, since the beginning. */
    private long lived;

    private long changedAt;
    private int current;
    private double depth;

    /** For how long no more is shed than the level above may. */
    private long settled;

    private SheddingPolicy allowance;

    /**
     * Makes one at full service.
     *
     * @throws IllegalArgumentException naming the field of the plan that makes no sense, and its
     *     range
     */
    public DegradationController(DegradationPlan plan, SheddingOrder order) {
        plan.check();
        this.plan = plan;
        this.order = order;
        for (DegradationLevel l : plan.levels) {
            stages.add(new Stage(l, order.count(l.reach())));
        }
        allow();
    }

    /** The level in force. */
    public DegradationLevel level() {
        return stages.get(current).level;
    }

    /** What the node does at present; a new one after every change of it. */
    public SheddingPolicy allowance() {
        return allowance;
    }

    /** Takes readings in; the change that they make, if any. */
    public Optional<Change> read(Readings readings) {
        long step = begun ? readings.now() - lastAt : 0;
        step = step < 0 || step > plan.gapNs ? 0 : step;
        begun = true;
        lastAt = readings.now();
        lived += step;
        for (Stage s : stages) {
            s.read(readings, step);
        }
        thin(step);
        Change change = null;
        int to = deepestDue();
        if (to > current) {
            change = down(to, readings.now());
        } else if (mayLeave()) {
            change = up(readings.now());
        }
        if (depth != allowance.depth() || change != null) {
            allow();
        }
        return Optional.ofNullable(change);
    }

    private void allow() {
        allowance = new SheddingPolicy(order, level(), depth, plan.keep);
    }

    private int deepestDue() {
        for (int i = stages.size() - 1; i > current; i--) {
            if (stages.get(i).watches.stream().anyMatch(Watch::isDue)) {
                return i;
            }
        }
        return current;
    }

    private boolean mayLeave() {
        if (current == 0) {
            return false;
        }
        Stage s = stages.get(current);
        return s.clear
                && s.clearFor >= s.level.leaveNs()
                && lived - changedAt >= s.stay
                && settled >= s.level.leaveNs();
    }

    private Change down(int to, long now) {
        for (int i = current + 1; i <= to; i++) {
            stages.get(i).enter(lived);
        }
        Stage s = stages.get(to);
        List<Change.Cause> causes =
                s.watches.stream()
                        .filter(Watch::isDue)
                        .map(
                                w ->
                                        new Change.Cause(
                                                w.condition.reading(),
                                                w.value,
                                                w.condition.enter()))
                        .toList();
        depth = Math.min(s.reach, Math.max(depth, s.leastDepth()));
        return move(to, causes, now);
    }

    private Change up(long now) {
        Stage s = stages.get(current);
        s.leftAt = lived;
        List<Change.Cause> causes =
                s.holders.stream()
                        .map(
                                w ->
                                        new Change.Cause(
                                                w.condition.reading(),
                                                w.measured ? w.value : Double.NaN,
                                                w.condition.leave()))
                        .toList();
        depth = Math.min(depth, stages.get(current - 1).reach);
        return move(current - 1, causes, now);
    }

    private Change move(int to, List<Change.Cause> causes, long now) {
        String from = level().name();
        boolean down = to > current;
        current = to;
        changedAt = lived;
        return new Change(from, level().name(), down, now, causes, stages.get(to).stay);
    }

    private void thin(long step) {
        Stage s = stages.get(current);
        boolean pressed = false;
        boolean eased = true;
        for (Watch w : s.watches) {
            if (w.condition.reading().isRelieved()) {
                pressed |= w.known && w.side == Side.OVER;
                eased &= w.side == Side.UNDER;
            }
        }
        double above = current == 0 ? 0 : stages.get(current - 1).reach;
        double floor = s.clear ? Math.min(above, s.leastDepth()) : s.leastDepth();
        if (pressed) {
            depth = s.reach - (s.reach - depth) * Math.exp(-(double) step / plan.riseNs);
        } else if (eased) {
            depth -= (double) step / plan.overloadWindowNs;
        }
        depth = Math.min(s.reach, Math.max(floor, depth));
        settled = depth <= above ? settled + step : 0;
    }

    /** Where a reading was last known to be by the bounds of a condition. */
    private enum Side {
        UNDER,
        BETWEEN,
        OVER
    }

    /** One condition, and how long it has held. */
    private final class Watch {
        final Condition condition;
        double value;
        Side side = Side.UNDER;
        boolean known;

        /**
         * Known of late: a reading that never was, or no longer is, must not hold a level for ever.
         */
        boolean measured;

        long knownAt;
        long overFor;

        Watch(Condition condition) {
            this.condition = condition;
        }

        void read(double now, long step) {
            known = !Double.isNaN(now);
            if (!known) {
                if (lived - knownAt > plan.trustNs) {
                    measured = false;
                    side = Side.UNDER;
                    overFor = 0;
                }
                return;
            }
            Side was = side;
            value = now;
            side =
                    now >= condition.enter()
                            ? Side.OVER
                            : now < condition.leave() ? Side.UNDER : Side.BETWEEN;
            measured = true;
            knownAt = lived;
            if (side == Side.UNDER) {
                overFor = 0;
            } else if (side == Side.OVER && was == Side.OVER) {
                overFor += step;
            }
        }

        boolean isDue() {
            return known && side == Side.OVER && overFor >= condition.holdNs();
        }
    }

    /** One level, and how it stands. */
    private final class Stage {
        final DegradationLevel level;
        final int reach;
        final List<Watch> watches;

        /** Conditions that were not under their leave bounds when last any was. */
        List<Watch> holders = List.of();

        boolean clear = true;
        long clearFor;
        long stay;

        /** The penalty; 0: never entered. */
        double penalty;

        long leftAt;

        Stage(DegradationLevel level, int reach) {
            this.level = level;
            this.reach = reach;
            watches = level.conditions().stream().map(Watch::new).toList();
            stay = level.leastStayNs();
        }

        double leastDepth() {
            return level.leastShed() * reach;
        }

        void read(Readings readings, long step) {
            boolean allKnown = true;
            for (Watch w : watches) {
                w.read(w.condition.reading().of(readings), step);
                allKnown &= w.known || !w.measured;
            }
            List<Watch> over = watches.stream().filter(w -> w.side != Side.UNDER).toList();
            if (!over.isEmpty()) {
                clear = false;
                clearFor = 0;
                holders = over;
            } else if (allKnown) {
                clearFor += clear ? step : 0;
                clear = true;
            }
        }

        void enter(long now) {
            double most = (double) plan.mostStayNs / level.leastStayNs();
            double decayed = 2 * penalty * Math.pow(0.5, (double) (now - leftAt) / plan.halfLifeNs);
            penalty = Math.min(most, Math.max(1, decayed));
            stay = (long) (level.leastStayNs() * penalty);
        }
    }
}
