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
 * The process of a server: its queueing model, its load reports and its injected faults. An event
 * queue drives it, in virtual or real time.
 */
public final class ServerProcess {
    /** The response time of a request that fails immediately. */
    private static final long FAST_ERROR_NS = 1_000_000L;

    /**
     * The weight of the newest request in the moving average of latency that health checks report.
     */
    private static final double LATENCY_SMOOTHING = 0.2;

    /**
     * Latencies are averaged separately for each number of requests in flight at arrival, up to
     * this one.
     */
    private static final int MAX_TRACKED_INFLIGHT = 256;

    private record Report(long createdAt, double inflight, double queue) {}

    public final ServerFaults faults = new ServerFaults();

    private final EventQueue eventQueue;
    private final FleetModel fleet;
    private final ServerLimits limits;
    private final Runnable onCrash;
    private final UniformRandomProvider reportRandom;
    private final UniformRandomProvider faultRandom;
    private final ArrayDeque<Report> reports = new ArrayDeque<>();

    /** The accepted requests, in the order of arrival. */
    private final Map<IncomingRequest, ServerModel.Job> requests = new LinkedHashMap<>();

    private ServerModel model;
    private EventQueue.Entry wakeEntry;
    private long wakeAt = Long.MAX_VALUE;
    private boolean up = true;
    private int incarnation;
    private long startedAt;
    private double slowdown = 1;
    private final double[] latencyByInflightNs = new double[MAX_TRACKED_INFLIGHT];
    private long reportDelayNs;

    /**
     * Creates a running process.
     *
     * @param name identifies its streams of random numbers
     * @param cold whether it has just started
     * @param onCrash called when too much work crashes the server while it is cold; the process is
     *     down by then
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
                && reports.peek().createdAt < now - reportDelayNs - fleet.reportEveryHighNs() * 2) {
            reports.poll();
        }
        eventQueue.scheduleAfter(
                (long)
                        RandomStreams.uniform(
                                reportRandom, fleet.reportEveryLowNs(), fleet.reportEveryHighNs()),
                this::refreshReport);
    }

    /** Delays all load reports by this time, in ns. */
    public void setReportDelay(long delayNs) {
        reportDelayNs = delayNs;
    }

    /** The load report that a response sent now carries; null if there is none. */
    public LoadReport report() {
        Report newest = null;
        for (Report report : reports) {
            if (report.createdAt <= eventQueue.now() - reportDelayNs) {
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
     * The load report of a health check: the present load, and the average latency of recent
     * requests that arrived when about as many were in flight as now (as in Prequal: Wydrowski et
     * al., NSDI 2024, 4).
     */
    public LoadReport healthReport() {
        int inflight = Math.min(MAX_TRACKED_INFLIGHT - 1, model.inflight());
        double latency = Double.NaN;
        for (int distance = 0;
                distance < MAX_TRACKED_INFLIGHT && Double.isNaN(latency);
                distance++) {
            latency =
                    inflight >= distance && latencyByInflightNs[inflight - distance] > 0
                            ? latencyByInflightNs[inflight - distance]
                            : inflight + distance < MAX_TRACKED_INFLIGHT
                                            && latencyByInflightNs[inflight + distance] > 0
                                    ? latencyByInflightNs[inflight + distance]
                                    : latency;
        }
        return new LoadReport(
                model.inflight(), model.queue(), Double.NaN, latency / 1e6, Double.NaN, Double.NaN);
    }

    public ServerModel model() {
        return model;
    }

    public boolean isUp() {
        return up;
    }

    /** Counts the stops: connections and requests of an earlier incarnation are gone. */
    public int incarnation() {
        return incarnation;
    }

    /** The time of the last start, in ns; 0 if it has run since before the run began. */
    public long startedAt() {
        return startedAt;
    }

    /** The requests in flight; 0 while the process is down. */
    public int inflight() {
        return up ? model.inflight() : 0;
    }

    /** Handles a request whose last byte has arrived. */
    public void receive(IncomingRequest incoming) {
        if (drawFault(faults.errorShare)) {
            incoming.accepted();
            eventQueue.scheduleAfter(FAST_ERROR_NS, () -> incoming.respond(Response.ERROR, 0));
            return;
        }
        advance();
        ServedJob job = new ServedJob(incoming.work(), incoming, null, eventQueue.now());
        job.inflightOnArrival = Math.min(MAX_TRACKED_INFLIGHT - 1, model.inflight());
        boolean accepted = model.arrive(eventQueue.now(), job);
        if (accepted) {
            incoming.accepted();
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

    /** The node has closed the connection of this request, which may already have ended. */
    public void cancelRequest(IncomingRequest incoming) {
        ServerModel.Job job = requests.remove(incoming);
        if (job != null) {
            advance();
            model.cancel(eventQueue.now(), job);
            scheduleWake();
        }
    }

    /** Adds work that belongs to no request, such as opening a connection. */
    public void addBackgroundWork(double workNs) {
        if (workNs > 0) {
            advance();
            model.addBackgroundWork(workNs);
            scheduleWake();
        }
    }

    /**
     * Handles a health check; {@code done} runs when the response leaves, and never if there is
     * none.
     */
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

    /** Makes the server this many times slower; 1 is normal. */
    public void setSlowdown(double factor) {
        slowdown = factor;
        model.setSlowdown(eventQueue.now(), factor, this::jobDone);
        scheduleWake();
    }

    private boolean drawFault(double share) {
        return share > 0 && faultRandom.nextDouble() < share;
    }

    private void jobDone(ServerModel.Job job) {
        ServedJob served = (ServedJob) job;
        if (served.onDone != null) {
            served.onDone.run();
            return;
        }
        if (requests.remove(served.incoming) == null) {
            return; // cancelled by its node while it was executing
        }
        double previous = latencyByInflightNs[served.inflightOnArrival];
        latencyByInflightNs[served.inflightOnArrival] +=
                (previous == 0 ? 1 : LATENCY_SMOOTHING)
                        * (eventQueue.now() - served.arrivedAt - previous);
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
            model.advance(eventQueue.now(), this::jobDone);
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

    /** Ends the process; the connections of its requests break. */
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

    /** Starts the process again, cold. */
    public void start() {
        up = true;
        startedAt = eventQueue.now();
        model = new ServerModel(limits, eventQueue.now(), true);
        if (slowdown != 1) {
            model.setSlowdown(eventQueue.now(), slowdown, job -> {});
        }
    }

    /** A request, or a queued health check, which runs {@code onDone} instead of responding. */
    private static final class ServedJob extends ServerModel.Job {
        private final IncomingRequest incoming;
        private final Runnable onDone;
        private final long arrivedAt;
        private int inflightOnArrival;

        ServedJob(double work, IncomingRequest incoming, Runnable onDone, long arrivedAt) {
            super(work);
            this.incoming = incoming;
            this.onDone = onDone;
            this.arrivedAt = arrivedAt;
        }
    }
}
