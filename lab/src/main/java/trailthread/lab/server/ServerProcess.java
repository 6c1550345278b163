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
import trailthread.lab.scenario.Scenario.FleetModel;
import trailthread.lab.server.IncomingRequest.Response;

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
    private static final int MAX_TRACKED_INFLIGHT = 256;

    private record Report(long at, double inflight, double queue) {}

    /** What is wrong with it. */
    public final ServerFaults faults = new ServerFaults();

    private final EventQueue eventQueue;
    private final FleetModel fleet;
    private final ServerLimits limits;
    private final Runnable onCrash;
    private final UniformRandomProvider reportRandom;
    private final UniformRandomProvider faultRandom;
    private final ArrayDeque<Report> reports = new ArrayDeque<>();

    /** What is here, in the order in which it came. */
    private final Map<IncomingRequest, ServerModel.Job> requests = new LinkedHashMap<>();

    private ServerModel model;
    private EventQueue.Entry wakeEntry;
    private long wakeAt = Long.MAX_VALUE;
    private boolean up = true;
    private int incarnation;
    private long startedAt;
    private double slowdown = 1;
    private final double[] latencyNs = new double[MAX_TRACKED_INFLIGHT];
    private long reportDelayNs;

    /**
     * One that runs.
     *
     * @param name of its streams of random numbers
     * @param limits its own
     * @param cold whether it has just started
     * @param onCrash is run when it is pushed over while cold; the process is down then
     */
    public ServerProcess(
            EventQueue eventQueue,
            RandomStreams streams,
            FleetModel fleet,
            String name,
            ServerLimits limits,
            boolean cold,
            Runnable onCrash) {
        this.eventQueue = eventQueue;
        this.fleet = fleet;
        this.limits = limits;
        this.onCrash = onCrash;
        reportRandom = streams.stream("reports of " + name);
        faultRandom = streams.stream("ills of " + name);
        model = new ServerModel(limits, eventQueue.now(), cold);
        startedAt = cold ? eventQueue.now() : 0;
        if (fleet.reportsLoad()) {
            refreshReport();
        }
    }

    private void refreshReport() {
        advance();
        double noise = 1 + fleet.reportNoise() * (2 * reportRandom.nextDouble() - 1);
        long now = eventQueue.now();
        reports.add(new Report(now, model.inflight() * noise, model.queue() * noise));
        while (reports.size() > 1
                && reports.peek().at < now - reportDelayNs - fleet.reportEveryHighNs() * 2) {
            reports.poll();
        }
        eventQueue.scheduleAfter(
                (long)
                        RandomStreams.uniform(
                                reportRandom, fleet.reportEveryLowNs(), fleet.reportEveryHighNs()),
                this::refreshReport);
    }

    /** Reports arrive so much later than usual, in ns. */
    public void setReportDelay(long ns) {
        reportDelayNs = ns;
    }

    /** What an answer that leaves now says; null: nothing. */
    public LoadReport report() {
        Report newest = null;
        for (Report report : reports) {
            if (report.at <= eventQueue.now() - reportDelayNs) {
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
    public LoadReport healthReport() {
        int inflight = Math.min(MAX_TRACKED_INFLIGHT - 1, model.inflight());
        double latency = Double.NaN;
        for (int off = 0; off < MAX_TRACKED_INFLIGHT && Double.isNaN(latency); off++) {
            latency =
                    inflight >= off && latencyNs[inflight - off] > 0
                            ? latencyNs[inflight - off]
                            : inflight + off < MAX_TRACKED_INFLIGHT && latencyNs[inflight + off] > 0
                                    ? latencyNs[inflight + off]
                                    : latency;
        }
        return new LoadReport(
                model.inflight(), model.queue(), Double.NaN, latency / 1e6, Double.NaN, Double.NaN);
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
    public int incarnation() {
        return incarnation;
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
    public void receive(IncomingRequest incoming) {
        if (drawFault(faults.errorShare)) {
            incoming.executionStarted();
            eventQueue.scheduleAfter(FAST_ERROR_NS, () -> incoming.respond(Response.ERROR, 0));
            return;
        }
        advance();
        ServedJob job = new ServedJob(incoming.work(), incoming, null, eventQueue.now());
        job.inflightOnArrival = Math.min(MAX_TRACKED_INFLIGHT - 1, model.inflight());
        boolean taken = model.arrive(eventQueue.now(), job);
        if (taken) {
            incoming.executionStarted();
            requests.put(incoming, job);
        } else if (!model.hasCrashed()) {
            incoming.respond(Response.FULL, 0);
        }
        if (model.hasCrashed()) {
            stop();
            onCrash.run();
        } else {
            scheduleWake();
        }
    }

    /** Its node has closed the connection of a request that may be here. */
    public void cancelRequest(IncomingRequest incoming) {
        ServerModel.Job job = requests.remove(incoming);
        if (job != null) {
            advance();
            model.cancel(eventQueue.now(), job);
            scheduleWake();
        }
    }

    /** Work that belongs to no request, as a connection's opening. */
    public void addBackgroundWork(double ns) {
        if (ns > 0) {
            advance();
            model.addBackgroundWork(ns);
            scheduleWake();
        }
    }

    /** A probe has come; {@code done} is run when its answer leaves, and never if there is none. */
    public void checkHealth(Runnable done) {
        if (fleet.queuedHealthChecks()) {
            advance();
            model.arrive(
                    eventQueue.now(),
                    new ServedJob(Math.max(1, fleet.healthCheckWorkNs()), null, done, 0));
            scheduleWake();
        } else {
            addBackgroundWork(fleet.healthCheckWorkNs());
            done.run();
        }
    }

    /** It works so many times slower; 1: as usual. */
    public void setSlowdown(double times) {
        slowdown = times;
        model.setSlowdown(eventQueue.now(), times, this::done);
        scheduleWake();
    }

    private boolean drawFault(double share) {
        return share > 0 && faultRandom.nextDouble() < share;
    }

    private void done(ServerModel.Job job) {
        ServedJob served = (ServedJob) job;
        if (served.onDone != null) {
            served.onDone.run();
            return;
        }
        if (requests.remove(served.incoming) == null) {
            return; // it was given up, and the work went on
        }
        double before = latencyNs[served.inflightOnArrival];
        latencyNs[served.inflightOnArrival] +=
                (before == 0 ? 1 : TIME_WEIGHT) * (eventQueue.now() - served.at - before);
        if (drawFault(faults.lostResponseShare)) {
            return;
        }
        Response response =
                drawFault(faults.resetShare)
                        ? Response.RESET
                        : drawFault(faults.garbageShare) ? Response.GARBAGE : Response.OK;
        served.incoming.respond(response, faults.trickleNs);
    }

    private void advance() {
        if (up) {
            model.advance(eventQueue.now(), this::done);
        }
    }

    private void wakeUp() {
        wakeEntry = null;
        wakeAt = Long.MAX_VALUE;
        advance();
        scheduleWake();
    }

    private void scheduleWake() {
        long next = up ? model.nextEventTime() : Long.MAX_VALUE;
        if (next < wakeAt) {
            if (wakeEntry != null) {
                wakeEntry.cancel();
            }
            wakeAt = next;
            wakeEntry = eventQueue.scheduleAt(next, this::wakeUp);
        }
    }

    /** Its process ends: what it holds breaks off. */
    public void stop() {
        if (up) {
            up = false;
            incarnation++;
            List<IncomingRequest> interrupted = List.copyOf(requests.keySet());
            requests.clear();
            model.clear();
            interrupted.forEach(IncomingRequest::connectionBroken);
        }
    }

    /** Its process has started again, cold. */
    public void start() {
        up = true;
        startedAt = eventQueue.now();
        model = new ServerModel(limits, eventQueue.now(), true);
        if (slowdown != 1) {
            model.setSlowdown(eventQueue.now(), slowdown, job -> {});
        }
    }

    /** A request of a node's, or work with something to do after it. */
    private static final class ServedJob extends ServerModel.Job {
        private final IncomingRequest incoming;
        private final Runnable onDone;
        private final long at;
        private int inflightOnArrival;

        ServedJob(double work, IncomingRequest incoming, Runnable onDone, long at) {
            super(work);
            this.incoming = incoming;
            this.onDone = onDone;
            this.at = at;
        }
    }
}
