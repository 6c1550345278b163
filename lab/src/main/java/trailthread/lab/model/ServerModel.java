package trailthread.lab.model;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * A server's work, by {@link ServerLimits}: requests share its cores, wait for slots, are turned
 * away. Time is handed in and may be virtual or real; nothing here draws a random number.
 *
 * <p>All requests in work go on at one rate, so the work that one of them has had since the
 * server's start, {@code servedPerJob}, is the same for all; each is done when that reaches what it
 * was when the request began plus the request's own work. Every step costs the logarithm of what is
 * in work.
 */
public final class ServerModel {
    /** A cold server's capacity rises in so many steps. */
    private static final int COLD_STEPS = 64;

    /** One request; what else belongs to it is kept in subclasses by those who bring it. */
    public static class Job implements Comparable<Job> {
        private final double work;
        private long serial;
        private double completesAtServed;
        private State state = State.NEW;

        private enum State {
            NEW,
            WAITING,
            EXECUTING,
            DONE
        }

        /** So much work, in ns on a standard core, above 0. */
        public Job(double work) {
            if (!(work > 0)) {
                throw new IllegalArgumentException("work must be above 0, not " + work);
            }
            this.work = work;
        }

        /** In ns on a standard core. */
        public double work() {
            return work;
        }

        @Override
        public int compareTo(Job other) {
            return completesAtServed != other.completesAtServed
                    ? Double.compare(completesAtServed, other.completesAtServed)
                    : Long.compare(serial, other.serial);
        }
    }

    private final ServerLimits limits;
    private final PriorityQueue<Job> working = new PriorityQueue<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final ArrayDeque<double[]> coldArrivals = new ArrayDeque<>();
    private final long startedAt;
    private long at;
    private double servedPerJob;
    private long serial;
    private double slowdown = 1;
    private boolean jammed;

    /**
     * Since when it has been crowded enough to jam, or calm enough to end a jam; Long.MAX_VALUE: it
     * is not.
     */
    private long jamConditionSince = Long.MAX_VALUE;

    private double coldWorkInWindow;
    private boolean crashed;
    private int jams;
    private double workDone;

    /** One that starts now; with {@code cold}, as the law says, else warm. */
    public ServerModel(ServerLimits limits, long now, boolean cold) {
        this.limits = limits;
        this.at = now;
        this.startedAt = cold ? now : now - limits.cold().warmNs();
    }

    /** What it is able to do. */
    public ServerLimits limits() {
        return limits;
    }

    /** Requests that it holds, waiting ones with them. */
    public int inflight() {
        return working.size() + waiting.size();
    }

    /** Requests that wait. */
    public int queue() {
        return waiting.size();
    }

    /** Whether it is slow by a jam. */
    public boolean isJammed() {
        return jammed;
    }

    /** How often it has jammed. */
    public int jams() {
        return jams;
    }

    /** Whether it was pushed over while cold, and does nothing any more. */
    public boolean hasCrashed() {
        return crashed;
    }

    /** Work done, in ns on a standard core. */
    public double workDone() {
        return workDone;
    }

    /** The share of its capacity that it has at a time, by its start alone. */
    public double capacityShare(long now) {
        ServerLimits.Cold cold = limits.cold();
        long age = now - startedAt;
        if (age >= cold.warmNs()) {
            return 1;
        }
        double step = Math.floor((double) age / cold.warmNs() * COLD_STEPS) / COLD_STEPS;
        return cold.share() + (1 - cold.share()) * step;
    }

    /** From now on it works so many times slower, by a fault; 1: as usual. */
    public void setSlowdown(long now, double times, Consumer<Job> done) {
        advance(now, done);
        slowdown = times;
    }

    /**
     * Brings a request; whether it is taken. {@link #advance} to this time must have been called.
     *
     * @throws IllegalStateException if the request was brought before
     */
    public boolean arrive(long now, Job job) {
        if (job.state != Job.State.NEW) {
            throw new IllegalStateException("a request is brought twice");
        }
        if (crashed) {
            return false;
        }
        if (working.size() >= limits.slots() && waiting.size() >= limits.queueCapacity()) {
            job.state = Job.State.DONE;
            return false;
        }
        checkColdBudget(now, job);
        job.serial = serial++;
        if (working.size() < limits.slots()) {
            startExecuting(job);
        } else {
            job.state = Job.State.WAITING;
            waiting.add(job);
        }
        updateJamCondition(now);
        return true;
    }

    /**
     * A cold server's budget: all work sent within the window, against what it can do in it now.
     */
    private void checkColdBudget(long now, Job job) {
        ServerLimits.Cold cold = limits.cold();
        double capacityShare = capacityShare(now);
        if (capacityShare >= 1) {
            coldArrivals.clear();
            coldWorkInWindow = 0;
            return;
        }
        coldArrivals.add(new double[] {now, job.work});
        coldWorkInWindow += job.work;
        while (coldArrivals.peek()[0] < now - cold.windowNs()) {
            coldWorkInWindow -= coldArrivals.poll()[1];
        }
        double window = limits.capacity() * capacityShare * cold.windowNs() / 1e9;
        if (coldWorkInWindow > cold.overloadMultiple() * window) {
            crashed = true;
        }
    }

    private void startExecuting(Job job) {
        job.state = Job.State.EXECUTING;
        job.completesAtServed = servedPerJob + job.work;
        working.add(job);
    }

    /**
     * The node has given it up: what waits is dropped, what is in work goes on, unless the law says
     * otherwise.
     */
    public boolean cancel(long now, Job job) {
        boolean dropped =
                (job.state == Job.State.WAITING && waiting.remove(job))
                        || (job.state == Job.State.EXECUTING
                                && limits.cancelStopsExecution()
                                && working.remove(job));
        if (dropped) {
            job.state = Job.State.DONE;
            fillSlots();
            updateJamCondition(now);
        }
        return dropped;
    }

    private void fillSlots() {
        while (working.size() < limits.slots() && !waiting.isEmpty()) {
            startExecuting(waiting.poll());
        }
    }

    /**
     * Work beside all requests, as for a new connection, so much on a standard core: it is taken
     * from what is in work, in equal parts; an idle core does it unseen. {@link #advance} to this
     * time must have been called.
     */
    public void addBackgroundWork(double work) {
        if (!working.isEmpty()) {
            servedPerJob -= work / working.size();
        }
    }

    /** Everything that it holds is gone, as with the process. */
    public void clear() {
        working.forEach(job -> job.state = Job.State.DONE);
        waiting.forEach(job -> job.state = Job.State.DONE);
        working.clear();
        waiting.clear();
        jamConditionSince = Long.MAX_VALUE;
    }

    /** Work on each request in work, in ns on a standard core each ns. */
    private double rate(long now) {
        int n = working.size();
        double share = Math.min(1, (double) limits.cores() / n);
        double contentionFactor =
                1 + limits.contention() * Math.max(0, inflight() - limits.cores());
        return limits.speed()
                * share
                * capacityShare(now)
                / (contentionFactor * slowdown * (jammed ? limits.jam().slowdownFactor() : 1));
    }

    /** When something changes if nothing comes, Long.MAX_VALUE: never. */
    public long nextEventTime() {
        if (crashed) {
            return Long.MAX_VALUE;
        }
        long next = Long.MAX_VALUE;
        if (!working.isEmpty()) {
            double left = Math.max(0, working.peek().completesAtServed - servedPerJob);
            next = at + (long) Math.ceil(left / rate(at));
            if (at - startedAt < limits.cold().warmNs()) {
                next = Math.min(next, nextWarmUpStep(at));
            }
        }
        return Math.min(next, jamChangesAt());
    }

    private long nextWarmUpStep(long now) {
        long warm = limits.cold().warmNs();
        long step = (long) Math.floor((double) (now - startedAt) / warm * COLD_STEPS) + 1;
        return Math.max(now + 1, startedAt + (long) Math.ceil((double) step * warm / COLD_STEPS));
    }

    private long jamChangesAt() {
        if (jamConditionSince == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        return jamConditionSince + (jammed ? limits.jam().calmNs() : limits.jam().afterNs());
    }

    /**
     * How long one more request would take, for each ns of its work, if all that it holds, and that
     * is coming, were of its size; infinite: it has no room.
     */
    public double expectedSlowdown(long now, int arriving) {
        if (crashed
                || (working.size() >= limits.slots() && waiting.size() >= limits.queueCapacity())) {
            return Double.POSITIVE_INFINITY;
        }
        int held = inflight() + arriving + 1;
        double contentionFactor = 1 + limits.contention() * Math.max(0, held - limits.cores());
        double pace =
                limits.speed()
                        * capacityShare(now)
                        / (contentionFactor
                                * slowdown
                                * (jammed ? limits.jam().slowdownFactor() : 1));
        return Math.max(1, (double) held / limits.cores()) / pace;
    }

    /** Lets the time pass; requests that are done on the way are told of in their order. */
    public void advance(long now, Consumer<Job> done) {
        while (!crashed) {
            long next = nextEventTime();
            if (next > now) {
                break;
            }
            advanceTo(next);
            if (!working.isEmpty()
                    && working.peek().completesAtServed - servedPerJob
                            <= 1e-6 * rate(at) + 1e-12 * servedPerJob) {
                Job job = working.poll();
                job.state = Job.State.DONE;
                fillSlots();
                updateJamCondition(at);
                done.accept(job);
            } else if (jamChangesAt() <= at) {
                jammed = !jammed;
                jams += jammed ? 1 : 0;
                jamConditionSince = Long.MAX_VALUE;
                updateJamCondition(at);
            }
        }
        advanceTo(now);
    }

    private void advanceTo(long now) {
        if (!working.isEmpty() && !crashed) {
            double each = rate(at) * (now - at);
            servedPerJob += each;
            workDone += each * working.size();
        }
        at = Math.max(at, now);
    }

    private void updateJamCondition(long now) {
        ServerLimits.Jam jam = limits.jam();
        boolean conditionHolds =
                jammed
                        ? inflight() <= jam.idlePerCore() * limits.cores()
                        : waiting.size() > jam.waitingPerCore() * limits.cores();
        jamConditionSince =
                !conditionHolds
                        ? Long.MAX_VALUE
                        : jamConditionSince == Long.MAX_VALUE ? now : jamConditionSince;
    }
}
