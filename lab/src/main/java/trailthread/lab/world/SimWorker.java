package trailthread.lab.world;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.BalancerApi.Entry;
import trailthread.BalancerApi.Load;
import trailthread.BalancerApi.State;
import trailthread.lab.agenda.Agenda;
import trailthread.lab.random.Streams;
import trailthread.lab.worker.WorkerLaw;
import trailthread.lab.worker.WorkerModel;

/** A worker's process in virtual time: its model, its connections, its reports, and what is wrong with it. */
final class SimWorker {
    /** Memory of the time that requests take here, as probes tell it: the weight of one. */
    private static final double TIME_WEIGHT = 0.1;

    private record Report(long at, double inflight, double queue) {
    }

    final String name;
    final int index;
    final String zone;
    final int cell;
    private final World world;
    private final WorkerLaw law;
    private final UniformRandomProvider reportRandom;
    private final UniformRandomProvider faultRandom;
    private final ArrayDeque<Report> reports = new ArrayDeque<>();
    /** Attempts that are here or on their way back. */
    private final Set<SimAttempt> here = new HashSet<>();
    private WorkerModel model;
    private Agenda.Entry wake;
    private long wakesAt = Long.MAX_VALUE;
    /** What its roster says of it. */
    State state = State.READY;
    long readyAt;
    boolean up = true;
    boolean cut;
    int connections;
    /** Attempts that are on their way to it. */
    int coming;
    /** Changes whenever its process goes down: connections of before are dead. */
    int life;
    double failing;
    double losing;
    private double slower = 1;
    private double tookNs;

    SimWorker(World world, String name, int index, String zone, int cell, WorkerLaw law, boolean cold) {
        this.world = world;
        this.name = name;
        this.index = index;
        this.zone = zone;
        this.cell = cell;
        this.law = law;
        this.reportRandom = world.streams().of("reports of " + name);
        this.faultRandom = world.streams().of("faults of " + name);
        this.model = new WorkerModel(law, world.now(), cold);
        this.readyAt = cold ? world.now() : 0;
        if (world.scenario().fleet().reports()) {
            refreshReport();
        }
    }

    Entry entry() {
        return new Entry(name, 1, state, zone, readyAt, cell);
    }

    WorkerModel model() {
        return model;
    }

    /** Attempts that are here or on their way back; the order does not matter to anybody. */
    int holds() {
        return up ? model.inflight() : 0;
    }

    private void refreshReport() {
        var fleet = world.scenario().fleet();
        double noise = 1 + fleet.noise() * (2 * reportRandom.nextDouble() - 1);
        long now = world.now();
        advance();
        reports.add(new Report(now, model.inflight() * noise, model.queue() * noise));
        while (reports.size() > 1 && reports.peek().at < now - world.reportsLateNs() - fleet.everyHighNs() * 2) {
            reports.poll();
        }
        world.agenda().in((long) Streams.uniform(reportRandom, fleet.everyLowNs(), fleet.everyHighNs()),
                this::refreshReport);
    }

    /** What an answer that leaves now says; null: nothing. */
    Load report() {
        Report newest = null;
        for (Report report : reports) {
            if (report.at <= world.now() - world.reportsLateNs()) {
                newest = report;
            }
        }
        return newest == null ? null
                : new Load(newest.inflight, newest.queue, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /** What a probe's answer says: the present, and the time that requests of late took here. */
    Load probed() {
        return new Load(model.inflight(), model.queue(), Double.NaN, tookNs == 0 ? Double.NaN : tookNs / 1e6,
                Double.NaN, Double.NaN);
    }

    /** A connect has come; whether it is taken. */
    boolean opens() {
        if (connections >= world.scenario().network().connections()) {
            return false;
        }
        connections++;
        double work = world.scenario().network().openWorkNs();
        if (work > 0) {
            advance();
            model.arrive(world.now(), new WorkerModel.Job(work));
            arrange();
        }
        return true;
    }

    /** A request's last byte has come. */
    void arrived(SimAttempt attempt) {
        if (failing > 0 && faultRandom.nextDouble() < failing) {
            attempt.begins();
            world.agenda().in(World.FAST_ERROR_NS, () -> attempt.answers(SimAttempt.Answer.ERROR));
            return;
        }
        advance();
        WorkerModel.Job job = new Served(attempt.work(), attempt, world.now());
        boolean taken = model.arrive(world.now(), job);
        if (taken) {
            attempt.begins();
            attempt.job = job;
            here.add(attempt);
        } else if (!model.hasFallen()) {
            attempt.answers(SimAttempt.Answer.FULL);
        }
        if (model.hasFallen()) {
            world.fell(this);
            goDown();
            return;
        }
        arrange();
    }

    /** A node has closed the connection of an attempt that is here. */
    void givenUp(SimAttempt attempt) {
        if (attempt.job != null && here.remove(attempt)) {
            advance();
            model.drop(world.now(), attempt.job);
            arrange();
        }
    }

    /** Brings a probe. */
    boolean takesProbe(Runnable done) {
        advance();
        boolean taken = model.arrive(world.now(), new Served(world.scenario().fleet().probeWorkNs(), done));
        arrange();
        return taken;
    }

    void slow(double times) {
        slower = times;
        model.slow(world.now(), times, this::done);
        arrange();
    }

    private void done(WorkerModel.Job job) {
        if (!(job instanceof Served served)) {
            return; // work that belongs to nobody, as a connection's opening
        }
        if (served.probe != null) {
            served.probe.run();
            return;
        }
        SimAttempt attempt = served.attempt;
        here.remove(attempt);
        tookNs += (tookNs == 0 ? 1 : TIME_WEIGHT) * (world.now() - served.at - tookNs);
        if (losing == 0 || faultRandom.nextDouble() >= losing) {
            attempt.answers(SimAttempt.Answer.OK);
        }
    }

    private void advance() {
        model.advance(world.now(), this::done);
    }

    private void wakes() {
        wake = null;
        wakesAt = Long.MAX_VALUE;
        advance();
        arrange();
    }

    private void arrange() {
        long next = model.nextAt();
        if (next < wakesAt) {
            if (wake != null) {
                wake.cancel();
            }
            wakesAt = next;
            wake = world.agenda().at(next, this::wakes);
        }
    }

    /** Its process ends: what it holds breaks off. */
    void goDown() {
        if (!up) {
            return;
        }
        up = false;
        life++;
        connections = 0;
        // In the order of their calls: sets are in no order of their own.
        var broken = new java.util.ArrayList<>(here);
        broken.sort(java.util.Comparator.naturalOrder());
        here.clear();
        model.clear();
        broken.forEach(SimAttempt::breaks);
    }

    /** Its process has started again, cold. */
    void comeUp() {
        up = true;
        readyAt = world.now();
        model = new WorkerModel(law, world.now(), true);
        if (slower != 1) {
            model.slow(world.now(), slower, job -> { });
        }
    }

    /** A request of a node's, or a probe. */
    private static final class Served extends WorkerModel.Job {
        private final SimAttempt attempt;
        private final Runnable probe;
        private final long at;

        Served(double work, SimAttempt attempt, long at) {
            super(work);
            this.attempt = attempt;
            this.probe = null;
            this.at = at;
        }

        Served(double work, Runnable probe) {
            super(Math.max(1, work));
            this.attempt = null;
            this.probe = probe;
            this.at = 0;
        }
    }
}
