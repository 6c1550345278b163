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
 * The clients of a day: an open loop of Poisson arrivals. Times come from an event queue, virtual
 * or real; a request counts from when it was due, also where this machine brought it late.
 */
public final class ClientPopulation {
    private static final int MOST_DOUBLINGS = 10;

    private final EventQueue eventQueue;
    private final Scenario scenario;
    private final RunMetrics metrics;
    private final RequestSink sink;
    private final UniformRandomProvider arrivalRandom;
    private final UniformRandomProvider operationRandom;
    private final UniformRandomProvider tailRandom;
    private final double[] classShares;
    private final double[] tenantShares;
    private final long begin;
    private double tailShare;
    private double tailFactor = 1;
    private int openOperations;

    /** Those of a day that begins now. */
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
        begin = eventQueue.now();
        arrivalRandom = streams.stream("arrivals");
        operationRandom = streams.stream("asks");
        tailRandom = streams.stream("tails");
        classShares = scenario.classes().stream().mapToDouble(ClassModel::share).toArray();
        tenantShares = scenario.tenants().stream().mapToDouble(Tenant::share).toArray();
    }

    /** From now on this share of the requests costs so many times the usual work. */
    public void setHeavyTail(double share, double times) {
        tailShare = share;
        tailFactor = times;
    }

    /** Requests that have not come to their ends. */
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

    /** After an attempt's wait, or as long as the answer advises where clients heed that. */
    void scheduleRetry(int attempts, double draw, long retryAfterNs, Runnable task) {
        var clientModel = scenario.clients();
        long wait =
                (long)
                        (clientModel.backoffNs()
                                * (1L << Math.min(attempts - 1, MOST_DOUBLINGS))
                                * draw);
        eventQueue.scheduleAfter(
                Math.max(wait, clientModel.honorsRetryAfter() ? retryAfterNs : 0), task);
    }

    private double rate(long at) {
        var clientModel = scenario.clients();
        double rate = clientModel.perSecond();
        long since = at - begin;
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

    private double maxRate() {
        double most = scenario.clients().perSecond() * (1 + scenario.clients().swingDepth());
        for (Surge surge : scenario.clients().surges()) {
            most *= Math.max(1, surge.rateFactor());
        }
        return most;
    }

    /**
     * Begins to ask, until this time; a rate that changes by thinning (Lewis and Shedler, 1979).
     */
    public void begin(long end) {
        arrive(maxRate(), end);
    }

    private void arrive(double most, long end) {
        long at = eventQueue.now();
        do {
            at += (long) RandomStreams.exponential(arrivalRandom, 1e9 / most);
        } while (at < end && arrivalRandom.nextDouble() * most >= rate(at));
        if (at < end) {
            eventQueue.scheduleAt(
                    at,
                    () -> {
                        openOperations++;
                        newOperation().startAttempt();
                        arrive(most, end);
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
