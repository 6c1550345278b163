package trailthread.lab.clients;

import org.apache.commons.rng.UniformRandomProvider;
import trailthread.api.Tenant;
import trailthread.lab.event.EventQueue;
import trailthread.lab.metrics.RunMetrics;
import trailthread.lab.random.RandomStreams;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.scenario.Scenario.ClassModel;
import trailthread.lab.scenario.Scenario.Surge;
import trailthread.lab.scenario.Scenario.WorkDistribution;

/**
 * The clients of a run: an open loop of Poisson arrivals, in virtual or real time. Latency counts
 * from when an operation was due, also if this machine sends it late.
 */
public final class ClientPopulation {
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    private final EventQueue eventQueue;
    private final Scenario scenario;
    private final RunMetrics metrics;
    private final RequestSink sink;
    private final UniformRandomProvider arrivalRandom;
    private final UniformRandomProvider operationRandom;
    private final UniformRandomProvider tailRandom;
    private final double[] classShares;
    private final double[] tenantShares;
    private final long startedAt;
    private double tailShare;
    private double tailFactor = 1;
    private int openOperations;

    /** Creates the clients of a run that begins now. */
    public ClientPopulation(
            EventQueue eventQueue,
            RandomStreams streams,
            Scenario scenario,
            RunMetrics metrics,
            RequestSink sink) {
        this.eventQueue = eventQueue;
        this.scenario = scenario;
        this.metrics = metrics;
        this.sink = sink;
        startedAt = eventQueue.now();
        arrivalRandom = streams.stream("arrivals");
        operationRandom = streams.stream("asks");
        tailRandom = streams.stream("tails");
        classShares = scenario.classes().stream().mapToDouble(ClassModel::share).toArray();
        tenantShares = scenario.tenants().stream().mapToDouble(Tenant::share).toArray();
    }

    /** From now on, this share of the requests costs this many times the usual work. */
    public void setHeavyTail(double share, double factor) {
        tailShare = share;
        tailFactor = factor;
    }

    /** The number of operations that have not ended. */
    public int openOperations() {
        return openOperations;
    }

    void operationEnded() {
        openOperations--;
    }

    long now() {
        return eventQueue.now();
    }

    RunMetrics metrics() {
        return metrics;
    }

    RequestSink sink() {
        return sink;
    }

    /**
     * Runs the task after an exponential backoff, or after the Retry-After of the response if that
     * is longer and the clients honor it.
     */
    void scheduleRetry(int attempts, double draw, long retryAfterNs, Runnable task) {
        var clientModel = scenario.clients();
        long wait =
                (long)
                        (clientModel.backoffNs()
                                * (1L << Math.min(attempts - 1, MAX_BACKOFF_DOUBLINGS))
                                * draw);
        eventQueue.scheduleAfter(
                Math.max(wait, clientModel.honorsRetryAfter() ? retryAfterNs : 0), task);
    }

    private double rate(long at) {
        var clientModel = scenario.clients();
        double rate = clientModel.perSecond();
        long since = at - startedAt;
        if (clientModel.swingPeriodNs() > 0) {
            rate *=
                    1
                            + clientModel.swingDepth()
                                    * StrictMath.sin(
                                            2
                                                    * StrictMath.PI
                                                    * since
                                                    / clientModel.swingPeriodNs());
        }
        for (Surge surge : clientModel.surges()) {
            if (since >= surge.startNs() && since < surge.startNs() + surge.durationNs()) {
                rate *= surge.rateFactor();
            }
        }
        return rate;
    }

    private double peakRate() {
        double maxRate = scenario.clients().perSecond() * (1 + scenario.clients().swingDepth());
        for (Surge surge : scenario.clients().surges()) {
            maxRate *= Math.max(1, surge.rateFactor());
        }
        return maxRate;
    }

    /**
     * Starts operations until this time. A varying rate is drawn by thinning (Lewis and Shedler,
     * 1979).
     */
    public void begin(long end) {
        scheduleNextArrival(peakRate(), end);
    }

    private void scheduleNextArrival(double maxRate, long end) {
        long at = eventQueue.now();
        do {
            at += (long) RandomStreams.exponential(arrivalRandom, 1e9 / maxRate);
        } while (at < end && arrivalRandom.nextDouble() * maxRate >= rate(at));
        if (at < end) {
            eventQueue.scheduleAt(
                    at,
                    () -> {
                        openOperations++;
                        newOperation().startAttempt();
                        scheduleNextArrival(maxRate, end);
                    });
        }
    }

    private ClientOperation newOperation() {
        var clientModel = scenario.clients();
        ClassModel classModel =
                scenario.classes().get(drawIndex(classShares, operationRandom.nextDouble()));
        String tenant =
                tenantShares.length == 0
                        ? null
                        : scenario.tenants()
                                .get(drawIndex(tenantShares, operationRandom.nextDouble()))
                                .name();
        double draw = operationRandom.nextDouble();
        double work =
                classModel.distribution() == WorkDistribution.FIXED
                        ? classModel.lowWorkNs()
                        : classModel.distribution() == WorkDistribution.UNIFORM
                                ? classModel.lowWorkNs()
                                        + draw * (classModel.highWorkNs() - classModel.lowWorkNs())
                                : -classModel.lowWorkNs() * StrictMath.log(1 - draw);
        if (tailRandom.nextDouble() < tailShare) {
            work *= tailFactor;
        }
        long key =
                clientModel.keyCount() > 0
                        ? 1 + operationRandom.nextLong(clientModel.keyCount())
                        : 0;
        int zone = operationRandom.nextInt(scenario.zones().size());
        int attempts = clientModel.retries() + 1;
        ClientOperation.RandomDraws draws =
                new ClientOperation.RandomDraws(
                        new double[attempts], new double[attempts], new double[attempts]);
        for (int i = 0; i < attempts; i++) {
            draws.timeoutShare()[i] =
                    RandomStreams.uniform(
                            operationRandom,
                            clientModel.timeoutShareLow(),
                            clientModel.timeoutShareHigh());
            draws.backoff()[i] = RandomStreams.uniform(operationRandom, 0.5, 1);
            draws.nodeChoice()[i] = operationRandom.nextDouble();
        }
        return new ClientOperation(this, classModel, tenant, Math.max(1, work), key, zone, draws);
    }

    private static int drawIndex(double[] shares, double draw) {
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        double left = draw * sum;
        for (int i = 0; i < shares.length - 1; i++) {
            left -= shares[i];
            if (left < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }
}
