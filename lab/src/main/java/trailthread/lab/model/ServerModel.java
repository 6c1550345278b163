package trailthread.lab.model;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * A server's work, by {@link ServerLimits}: requests share its cores, wait for slots, are turned
 * away. Time is handed in and may be virtual or real; nothing here draws a random number.
 *
 * <p>All requests in work go on at one rate, so the work that one of them has had since the
 * server's start, {@code served}, is the same for all; each is done when that reaches what it was
 * when the request began plus the request's own work. Every step costs the logarithm of what is in
 * work.
 */
public final class ServerModel {
    /** A cold server's capacity rises in so many steps. */
    private static final int COLD_STEPS = 64;

    /** One request; what else belongs to it is kept in subclasses by those who bring it. */
    public static class Job implements Comparable<Job> {
        private final double work;
        private long serial;
        private double doneAt;
        private State state = State.NEW;

        private enum State {
            NEW,
            WAITS,
            WORKS,
            OVER
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
            return doneAt != other.doneAt
                    ? Double.compare(doneAt, other.doneAt)
                    : Long.compare(serial, other.serial);
        }
    }

    private final ServerLimits law;
    private final PriorityQueue<Job> working = new PriorityQueue<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final ArrayDeque<double[]> sentWhileCold = new ArrayDeque<>();
    private final long startedAt;
    private long at;
    private double served;
    private long serial;
    private double slowed = 1;
    private boolean jammed;

    /**
     * Since when it has been crowded enough to jam, or calm enough to end a jam; Long.MAX_VALUE: it
     * is not.
     */
    private long tipsSince = Long.MAX_VALUE;

    private double sentInWindow;
    private boolean fallen;
    private int jams;
    private double busy;

    /** One that starts now; with {@code cold}, as the law says, else warm. */
    public ServerModel(ServerLimits law, long now, boolean cold) {
        this.law = law;
        this.at = now;
        this.startedAt = cold ? now : now - law.cold().warmNs();
    }

    /** What it is able to do. */
    public ServerLimits law() {
        return law;
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
    public boolean hasFallen() {
        return fallen;
    }

    /** Work done, in ns on a standard core. */
    public double workDone() {
        return busy;
    }

    /** The share of its capacity that it has at a time, by its start alone. */
    public double warmth(long now) {
        ServerLimits.Cold cold = law.cold();
        long age = now - startedAt;
        if (age >= cold.warmNs()) {
            return 1;
        }
        double step = Math.floor((double) age / cold.warmNs() * COLD_STEPS) / COLD_STEPS;
        return cold.share() + (1 - cold.share()) * step;
    }

    /** From now on it works so many times slower, by a fault; 1: as usual. */
    public void slow(long now, double times, Consumer<Job> done) {
        advance(now, done);
        slowed = times;
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
        if (fallen) {
            return false;
        }
        if (working.size() >= law.slots() && waiting.size() >= law.room()) {
            job.state = Job.State.OVER;
            return false;
        }
        weigh(now, job);
        job.serial = serial++;
        if (working.size() < law.slots()) {
            begin(job);
        } else {
            job.state = Job.State.WAITS;
            waiting.add(job);
        }
        watchForJam(now);
        return true;
    }

    /**
     * A cold server's budget: all work sent within the window, against what it can do in it now.
     */
    private void weigh(long now, Job job) {
        ServerLimits.Cold cold = law.cold();
        double warmth = warmth(now);
        if (warmth >= 1) {
            sentWhileCold.clear();
            sentInWindow = 0;
            return;
        }
        sentWhileCold.add(new double[] {now, job.work});
        sentInWindow += job.work;
        while (sentWhileCold.peek()[0] < now - cold.deduplicationWindowNs()) {
            sentInWindow -= sentWhileCold.poll()[1];
        }
        double window = law.capacity() * warmth * cold.deduplicationWindowNs() / 1e9;
        if (sentInWindow > cold.multiple() * window) {
            fallen = true;
        }
    }

    private void begin(Job job) {
        job.state = Job.State.WORKS;
        job.doneAt = served + job.work;
        working.add(job);
    }

    /**
     * The node has given it up: what waits is dropped, what is in work goes on, unless the law says
     * otherwise.
     */
    public boolean drop(long now, Job job) {
        boolean dropped =
                (job.state == Job.State.WAITS && waiting.remove(job))
                        || (job.state == Job.State.WORKS
                                && law.cancelStops()
                                && working.remove(job));
        if (dropped) {
            job.state = Job.State.OVER;
            fill();
            watchForJam(now);
        }
        return dropped;
    }

    private void fill() {
        while (working.size() < law.slots() && !waiting.isEmpty()) {
            begin(waiting.poll());
        }
    }

    /**
     * Work beside all requests, as for a new connection, so much on a standard core: it is taken
     * from what is in work, in equal parts; an idle core does it unseen. {@link #advance} to this
     * time must have been called.
     */
    public void takes(double work) {
        if (!working.isEmpty()) {
            served -= work / working.size();
        }
    }

    /** Everything that it holds is gone, as with the process. */
    public void clear() {
        working.forEach(job -> job.state = Job.State.OVER);
        waiting.forEach(job -> job.state = Job.State.OVER);
        working.clear();
        waiting.clear();
        tipsSince = Long.MAX_VALUE;
    }

    /** Work on each request in work, in ns on a standard core each ns. */
    private double rate(long now) {
        int n = working.size();
        double share = Math.min(1, (double) law.cores() / n);
        double crowd = 1 + law.crowding() * Math.max(0, inflight() - law.cores());
        return law.speed()
                * share
                * warmth(now)
                / (crowd * slowed * (jammed ? law.jam().slower() : 1));
    }

    /** When something changes if nothing comes, Long.MAX_VALUE: never. */
    public long nextAt() {
        if (fallen) {
            return Long.MAX_VALUE;
        }
        long next = Long.MAX_VALUE;
        if (!working.isEmpty()) {
            double left = Math.max(0, working.peek().doneAt - served);
            next = at + (long) Math.ceil(left / rate(at));
            if (at - startedAt < law.cold().warmNs()) {
                next = Math.min(next, nextStep(at));
            }
        }
        return Math.min(next, tipsAt());
    }

    private long nextStep(long now) {
        long warm = law.cold().warmNs();
        long step = (long) Math.floor((double) (now - startedAt) / warm * COLD_STEPS) + 1;
        return Math.max(now + 1, startedAt + (long) Math.ceil((double) step * warm / COLD_STEPS));
    }

    private long tipsAt() {
        if (tipsSince == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        return tipsSince + (jammed ? law.jam().calmNs() : law.jam().afterNs());
    }

    /**
     * How long one more request would take, for each ns of its work, if all that it holds, and that
     * is coming, were of its size; infinite: it has no room.
     */
    public double stretch(long now, int coming) {
        if (fallen || (working.size() >= law.slots() && waiting.size() >= law.room())) {
            return Double.POSITIVE_INFINITY;
        }
        int held = inflight() + coming + 1;
        double crowd = 1 + law.crowding() * Math.max(0, held - law.cores());
        double pace =
                law.speed() * warmth(now) / (crowd * slowed * (jammed ? law.jam().slower() : 1));
        return Math.max(1, (double) held / law.cores()) / pace;
    }

    /** Lets the time pass; requests that are done on the way are told of in their order. */
    public void advance(long now, Consumer<Job> done) {
        while (!fallen) {
            long next = nextAt();
            if (next > now) {
                break;
            }
            pass(next);
            if (!working.isEmpty()
                    && working.peek().doneAt - served <= 1e-6 * rate(at) + 1e-12 * served) {
                Job job = working.poll();
                job.state = Job.State.OVER;
                fill();
                watchForJam(at);
                done.accept(job);
            } else if (tipsAt() <= at) {
                jammed = !jammed;
                jams += jammed ? 1 : 0;
                tipsSince = Long.MAX_VALUE;
                watchForJam(at);
            }
        }
        pass(now);
    }

    private void pass(long now) {
        if (!working.isEmpty() && !fallen) {
            double each = rate(at) * (now - at);
            served += each;
            busy += each * working.size();
        }
        at = Math.max(at, now);
    }

    private void watchForJam(long now) {
        ServerLimits.Jam jam = law.jam();
        boolean tips =
                jammed
                        ? inflight() <= jam.idle() * law.cores()
                        : waiting.size() > jam.waitingPerCore() * law.cores();
        tipsSince = !tips ? Long.MAX_VALUE : tipsSince == Long.MAX_VALUE ? now : tipsSince;
    }
}
