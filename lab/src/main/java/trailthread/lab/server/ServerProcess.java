package trailthread.lab.server;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.api.LoadReport;
import trailthread.lab.event.EventQueue;
import trailthread.lab.model.ServerLimits;
import trailthread.lab.model.ServerModel;
import trailthread.lab.random.RandomStreams;
import trailthread.lab.scenario.Scenario.FleetLaw;
import trailthread.lab.server.IncomingRequest.Answer;

/**
 * A server's process: its model, its reports, and what is wrong with it. Driven by an event queue,
 * whose time may be virtual or real.
 */
public final class ServerProcess {
    /** How long a server that fails at once takes for it. */
    private static final long FAST_ERROR_NS = 1_000_000L;

    /** The weight of one request in the time that requests take here, as probes tell it. */
    private static final double TIME_WEIGHT = 0.2;

    /** Times are kept by what was held when a request came, up to so many. */
    private static final int MOST_DEPTHS = 256;

    private record Report(long at, double inflight, double queue) {}

    /** What is wrong with it. */
    public final ServerFaults ills = new ServerFaults();

    private final EventQueue eventQueue;
    private final FleetLaw fleet;
    private final ServerLimits law;
    private final Runnable fell;
    private final UniformRandomProvider reportRandom;
    private final UniformRandomProvider illRandom;
    private final ArrayDeque<Report> reports = new ArrayDeque<>();

    /** What is here, in the order in which it came. */
    private final Map<IncomingRequest, ServerModel.Job> here = new LinkedHashMap<>();

    private ServerModel model;
    private EventQueue.Entry wake;
    private long wakesAt = Long.MAX_VALUE;
    private boolean up = true;
    private int life;
    private long startedAt;
    private double slower = 1;
    private final double[] tookNs = new double[MOST_DEPTHS];
    private long reportsLateNs;

    /**
     * One that runs.
     *
     * @param name of its streams of random numbers
     * @param law its own
     * @param cold whether it has just started
     * @param fell is run when it is pushed over while cold; the process is down then
     */
    public ServerProcess(
            EventQueue eventQueue,
            RandomStreams streams,
            FleetLaw fleet,
            String name,
            ServerLimits law,
            boolean cold,
            Runnable fell) {
        this.eventQueue = eventQueue;
        this.fleet = fleet;
        this.law = law;
        this.fell = fell;
        reportRandom = streams.stream("reports of " + name);
        illRandom = streams.stream("ills of " + name);
        model = new ServerModel(law, eventQueue.now(), cold);
        startedAt = cold ? eventQueue.now() : 0;
        if (fleet.reports()) {
            refresh();
        }
    }

    private void refresh() {
        advance();
        double noise = 1 + fleet.noise() * (2 * reportRandom.nextDouble() - 1);
        long now = eventQueue.now();
        reports.add(new Report(now, model.inflight() * noise, model.queue() * noise));
        while (reports.size() > 1
                && reports.peek().at < now - reportsLateNs - fleet.everyHighNs() * 2) {
            reports.poll();
        }
        eventQueue.scheduleAfter(
                (long) RandomStreams.uniform(reportRandom, fleet.everyLowNs(), fleet.everyHighNs()),
                this::refresh);
    }

    /** Reports arrive so much later than usual, in ns. */
    public void reportsLate(long ns) {
        reportsLateNs = ns;
    }

    /** What an answer that leaves now says; null: nothing. */
    public LoadReport report() {
        Report newest = null;
        for (Report report : reports) {
            if (report.at <= eventQueue.now() - reportsLateNs) {
                newest = report;
            }
        }
        return newest == null
                ? null
                : new LoadReport(
                        newest.inflight,
                        newest.queue,
                        Double.NaN,
                        Double.NaN,
                        Double.NaN,
                        Double.NaN);
    }

    /**
     * What a probe's answer says: the present, and the time that requests of late took here that
     * came when about as much was held as now (as in Prequal: Wydrowski et al., NSDI 2024, 4).
     */
    public LoadReport healthChecked() {
        int held = Math.min(MOST_DEPTHS - 1, model.inflight());
        double took = Double.NaN;
        for (int off = 0; off < MOST_DEPTHS && Double.isNaN(took); off++) {
            took =
                    held >= off && tookNs[held - off] > 0
                            ? tookNs[held - off]
                            : held + off < MOST_DEPTHS && tookNs[held + off] > 0
                                    ? tookNs[held + off]
                                    : took;
        }
        return new LoadReport(
                model.inflight(), model.queue(), Double.NaN, took / 1e6, Double.NaN, Double.NaN);
    }

    /** Its work, by the law. */
    public ServerModel model() {
        return model;
    }

    /** Whether its process runs. */
    public boolean isUp() {
        return up;
    }

    /** Which start of it this is: what belongs to an earlier one is dead. */
    public int life() {
        return life;
    }

    /** When it started last, in ns; 0: long ago. */
    public long startedAt() {
        return startedAt;
    }

    /** Requests that it holds. */
    public int inflight() {
        return up ? model.inflight() : 0;
    }

    /** A request's last byte has come. */
    public void arrived(IncomingRequest incoming) {
        if (draws(ills.failing)) {
            incoming.begins();
            eventQueue.scheduleAfter(FAST_ERROR_NS, () -> incoming.answers(Answer.ERROR, 0));
            return;
        }
        advance();
        Served job = new Served(incoming.work(), incoming, null, eventQueue.now());
        job.depth = Math.min(MOST_DEPTHS - 1, model.inflight());
        boolean taken = model.arrive(eventQueue.now(), job);
        if (taken) {
            incoming.begins();
            here.put(incoming, job);
        } else if (!model.hasFallen()) {
            incoming.answers(Answer.FULL, 0);
        }
        if (model.hasFallen()) {
            goDown();
            fell.run();
        } else {
            arrange();
        }
    }

    /** Its node has closed the connection of a request that may be here. */
    public void givenUp(IncomingRequest incoming) {
        ServerModel.Job job = here.remove(incoming);
        if (job != null) {
            advance();
            model.drop(eventQueue.now(), job);
            arrange();
        }
    }

    /** Work that belongs to no request, as a connection's opening. */
    public void works(double ns) {
        if (ns > 0) {
            advance();
            model.takes(ns);
            arrange();
        }
    }

    /** A probe has come; {@code done} is run when its answer leaves, and never if there is none. */
    public void probes(Runnable done) {
        if (fleet.deepProbes()) {
            advance();
            model.arrive(
                    eventQueue.now(), new Served(Math.max(1, fleet.probeWorkNs()), null, done, 0));
            arrange();
        } else {
            works(fleet.probeWorkNs());
            done.run();
        }
    }

    /** It works so many times slower; 1: as usual. */
    public void slow(double times) {
        slower = times;
        model.slow(eventQueue.now(), times, this::done);
        arrange();
    }

    private boolean draws(double share) {
        return share > 0 && illRandom.nextDouble() < share;
    }

    private void done(ServerModel.Job job) {
        Served served = (Served) job;
        if (served.after != null) {
            served.after.run();
            return;
        }
        if (here.remove(served.incoming) == null) {
            return; // it was given up, and the work went on
        }
        double before = tookNs[served.depth];
        tookNs[served.depth] +=
                (before == 0 ? 1 : TIME_WEIGHT) * (eventQueue.now() - served.at - before);
        if (draws(ills.losing)) {
            return;
        }
        Answer answer =
                draws(ills.resetting)
                        ? Answer.RESET
                        : draws(ills.spoiling) ? Answer.GARBAGE : Answer.OK;
        served.incoming.answers(answer, ills.drips);
    }

    private void advance() {
        if (up) {
            model.advance(eventQueue.now(), this::done);
        }
    }

    private void wakes() {
        wake = null;
        wakesAt = Long.MAX_VALUE;
        advance();
        arrange();
    }

    private void arrange() {
        long next = up ? model.nextAt() : Long.MAX_VALUE;
        if (next < wakesAt) {
            if (wake != null) {
                wake.cancel();
            }
            wakesAt = next;
            wake = eventQueue.scheduleAt(next, this::wakes);
        }
    }

    /** Its process ends: what it holds breaks off. */
    public void goDown() {
        if (up) {
            up = false;
            life++;
            List<IncomingRequest> broken = List.copyOf(here.keySet());
            here.clear();
            model.clear();
            broken.forEach(IncomingRequest::breaks);
        }
    }

    /** Its process has started again, cold. */
    public void comeUp() {
        up = true;
        startedAt = eventQueue.now();
        model = new ServerModel(law, eventQueue.now(), true);
        if (slower != 1) {
            model.slow(eventQueue.now(), slower, job -> {});
        }
    }

    /** A request of a node's, or work with something to do after it. */
    private static final class Served extends ServerModel.Job {
        private final IncomingRequest incoming;
        private final Runnable after;
        private final long at;
        private int depth;

        Served(double work, IncomingRequest incoming, Runnable after, long at) {
            super(work);
            this.incoming = incoming;
            this.after = after;
            this.at = at;
        }
    }
}
