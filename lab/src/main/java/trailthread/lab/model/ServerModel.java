package trailthread.lab.model;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * A queueing model of one server within its {@link ServerLimits}: requests share the cores, wait
 * for slots, and are rejected when the queue is full. The caller passes the time, virtual or real;
 * the model draws no random numbers.
 *
 * <p>All executing jobs progress at one rate. {@code servedPerJob} is the work that a job executing
 * since the start of the server would have received. A job completes when {@code servedPerJob} has
 * grown by the work of the job since its execution began. Each step costs O(log n) for n executing
 * jobs.
 */
public final class ServerModel {
    /** The number of steps in which the capacity of a cold server rises. */
    private static final int COLD_STEPS = 64;

    /** A request; callers add their own data in a subclass. */
    public static class Job implements Comparable<Job> {
        private final double work;
        private long sequence;
        private double completesAtServed;
        private State state = State.NEW;

        private enum State {
            NEW,
            WAITING,
            EXECUTING,
            DONE
        }

        /** Creates a job with this work, in ns on a standard core; above 0. */
        public Job(double work) {
            if (!(work > 0)) {
                throw new IllegalArgumentException("work must be above 0, not " + work);
            }
            this.work = work;
        }

        /** The work of the job, in ns on a standard core. */
        public double work() {
            return work;
        }

        @Override
        public int compareTo(Job other) {
            return completesAtServed != other.completesAtServed
                    ? Double.compare(completesAtServed, other.completesAtServed)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final ServerLimits limits;
    private final PriorityQueue<Job> executing = new PriorityQueue<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final ArrayDeque<double[]> coldArrivals = new ArrayDeque<>();
    private final long startedAt;
    private long currentTime;
    private double servedPerJob;
    private long nextSequence;
    private double slowdown = 1;
    private boolean jammed;

    /**
     * Since when the queue has been long enough for a jam to begin or the server idle enough for it
     * to end; Long.MAX_VALUE if neither.
     */
    private long jamConditionSince = Long.MAX_VALUE;

    private double coldWorkInWindow;
    private boolean crashed;
    private int jams;
    private double workDone;

    /** Creates a server that starts now: with the reduced capacity of a cold start, or warm. */
    public ServerModel(ServerLimits limits, long now, boolean cold) {
        this.limits = limits;
        this.currentTime = now;
        this.startedAt = cold ? now : now - limits.cold().warmNs();
    }

    public ServerLimits limits() {
        return limits;
    }

    /** The number of requests that execute or wait. */
    public int inflight() {
        return executing.size() + waiting.size();
    }

    /** The number of requests that wait. */
    public int queue() {
        return waiting.size();
    }

    public boolean isJammed() {
        return jammed;
    }

    /** The number of jams so far. */
    public int jams() {
        return jams;
    }

    /**
     * Whether it crashed because it received too much work while cold; it then rejects all
     * requests.
     */
    public boolean hasCrashed() {
        return crashed;
    }

    /** The work done so far, in ns on a standard core. */
    public double workDone() {
        return workDone;
    }

    /** The share of its capacity that the server has at this time after its start. */
    public double capacityShare(long now) {
        ServerLimits.Cold cold = limits.cold();
        long age = now - startedAt;
        if (age >= cold.warmNs()) {
            return 1;
        }
        double step = Math.floor((double) age / cold.warmNs() * COLD_STEPS) / COLD_STEPS;
        return cold.share() + (1 - cold.share()) * step;
    }

    /** Injects a fault: from now on the server works this many times slower; 1 ends the fault. */
    public void setSlowdown(long now, double factor, Consumer<Job> done) {
        advance(now, done);
        slowdown = factor;
    }

    /**
     * Accepts or rejects a request; true if it was accepted. {@link #advance} must have been called
     * with this time.
     *
     * @throws IllegalStateException if the job has arrived before
     */
    public boolean arrive(long now, Job job) {
        if (job.state != Job.State.NEW) {
            throw new IllegalStateException("the job has arrived before");
        }
        if (crashed) {
            return false;
        }
        if (executing.size() >= limits.slots() && waiting.size() >= limits.queueCapacity()) {
            job.state = Job.State.DONE;
            return false;
        }
        crashIfColdAndOverloaded(now, job);
        job.sequence = nextSequence++;
        if (executing.size() < limits.slots()) {
            startExecuting(job);
        } else {
            job.state = Job.State.WAITING;
            waiting.add(job);
        }
        updateJamCondition(now);
        return true;
    }

    /**
     * Crashes a cold server that receives more work within the window than {@link
     * ServerLimits.Cold} allows.
     */
    private void crashIfColdAndOverloaded(long now, Job job) {
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
        double workPerWindow = limits.capacity() * capacityShare * cold.windowNs() / 1e9;
        if (coldWorkInWindow > cold.overloadMultiple() * workPerWindow) {
            crashed = true;
        }
    }

    private void startExecuting(Job job) {
        job.state = Job.State.EXECUTING;
        job.completesAtServed = servedPerJob + job.work;
        executing.add(job);
    }

    /**
     * Cancels a request whose node has given up: removes it from the queue, and stops its execution
     * only if {@code cancelStopsExecution} is set. Returns whether the job was removed.
     */
    public boolean cancel(long now, Job job) {
        boolean removed =
                (job.state == Job.State.WAITING && waiting.remove(job))
                        || (job.state == Job.State.EXECUTING
                                && limits.cancelStopsExecution()
                                && executing.remove(job));
        if (removed) {
            job.state = Job.State.DONE;
            fillSlots();
            updateJamCondition(now);
        }
        return removed;
    }

    private void fillSlots() {
        while (executing.size() < limits.slots() && !waiting.isEmpty()) {
            startExecuting(waiting.poll());
        }
    }

    /**
     * Adds work that belongs to no request, such as opening a connection, in ns on a standard core.
     * It delays all executing jobs equally; on an idle server it has no effect. {@link #advance}
     * must have been called with this time.
     */
    public void addBackgroundWork(double work) {
        if (!executing.isEmpty()) {
            servedPerJob -= work / executing.size();
        }
    }

    /** Drops all requests, as when the process ends. */
    public void clear() {
        executing.forEach(job -> job.state = Job.State.DONE);
        waiting.forEach(job -> job.state = Job.State.DONE);
        executing.clear();
        waiting.clear();
        jamConditionSince = Long.MAX_VALUE;
    }

    /** The work done for each executing job, in ns on a standard core per ns. */
    private double rate(long now) {
        int count = executing.size();
        double share = Math.min(1, (double) limits.cores() / count);
        double contentionFactor =
                1 + limits.contention() * Math.max(0, inflight() - limits.cores());
        return limits.speed()
                * share
                * capacityShare(now)
                / (contentionFactor * slowdown * (jammed ? limits.jam().slowdownFactor() : 1));
    }

    /**
     * The time of the next change of state if no request arrives; Long.MAX_VALUE if there is none.
     */
    public long nextEventTime() {
        if (crashed) {
            return Long.MAX_VALUE;
        }
        long next = Long.MAX_VALUE;
        if (!executing.isEmpty()) {
            double left = Math.max(0, executing.peek().completesAtServed - servedPerJob);
            next = currentTime + (long) Math.ceil(left / rate(currentTime));
            if (currentTime - startedAt < limits.cold().warmNs()) {
                next = Math.min(next, nextWarmUpStep(currentTime));
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
        return jamConditionSince + (jammed ? limits.jam().idleNs() : limits.jam().afterNs());
    }

    /**
     * The expected response time of one more request divided by its work, if all requests in flight
     * and those still arriving had the same work; infinite if the request would be rejected.
     */
    public double expectedSlowdown(long now, int arriving) {
        if (crashed
                || (executing.size() >= limits.slots()
                        && waiting.size() >= limits.queueCapacity())) {
            return Double.POSITIVE_INFINITY;
        }
        int jobs = inflight() + arriving + 1;
        double contentionFactor = 1 + limits.contention() * Math.max(0, jobs - limits.cores());
        double workRate =
                limits.speed()
                        * capacityShare(now)
                        / (contentionFactor
                                * slowdown
                                * (jammed ? limits.jam().slowdownFactor() : 1));
        return Math.max(1, (double) jobs / limits.cores()) / workRate;
    }

    /** Advances to this time; passes completed jobs to {@code done} in the order of completion. */
    public void advance(long now, Consumer<Job> done) {
        while (!crashed) {
            long next = nextEventTime();
            if (next > now) {
                break;
            }
            advanceTo(next);
            // The tolerance covers rounding errors: the job of an event at this time must complete.
            if (!executing.isEmpty()
                    && executing.peek().completesAtServed - servedPerJob
                            <= 1e-6 * rate(currentTime) + 1e-12 * servedPerJob) {
                Job job = executing.poll();
                job.state = Job.State.DONE;
                fillSlots();
                updateJamCondition(currentTime);
                done.accept(job);
            } else if (jamChangesAt() <= currentTime) {
                jammed = !jammed;
                jams += jammed ? 1 : 0;
                jamConditionSince = Long.MAX_VALUE;
                updateJamCondition(currentTime);
            }
        }
        advanceTo(now);
    }

    private void advanceTo(long now) {
        if (!executing.isEmpty() && !crashed) {
            double workPerJob = rate(currentTime) * (now - currentTime);
            servedPerJob += workPerJob;
            workDone += workPerJob * executing.size();
        }
        currentTime = Math.max(currentTime, now);
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
