package trailthread.lab.clients;

import org.apache.commons.rng.UniformRandomProvider;
import trailthread.api.Tenant;
import trailthread.lab.event.EventQueue;
import trailthread.lab.metrics.RunMetrics;
import trailthread.lab.random.RandomStreams;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.scenario.Scenario.ClassLaw;
import trailthread.lab.scenario.Scenario.Draw;
import trailthread.lab.scenario.Scenario.Surge;

/**
 * The clients of a day: an open loop of Poisson arrivals. Times come from an event queue, virtual
 * or real; a request counts from when it was due, also where this machine brought it late.
 */
public final class ClientPopulation {
    private static final int MOST_DOUBLINGS = 10;

    private final EventQueue eventQueue;
    private final Scenario scenario;
    private final RunMetrics metrics;
    private final RequestSink front;
    private final UniformRandomProvider arrivals;
    private final UniformRandomProvider asks;
    private final UniformRandomProvider tails;
    private final double[] classShares;
    private final double[] tenantShares;
    private final long begin;
    private double tailShare;
    private double tailTimes = 1;
    private int open;

    /** Those of a day that begins now. */
    public ClientPopulation(
            EventQueue eventQueue,
            RandomStreams streams,
            Scenario scenario,
            RunMetrics metrics,
            RequestSink front) {
        this.eventQueue = eventQueue;
        this.scenario = scenario;
        this.metrics = metrics;
        this.front = front;
        begin = eventQueue.now();
        arrivals = streams.stream("arrivals");
        asks = streams.stream("asks");
        tails = streams.stream("tails");
        classShares = scenario.classes().stream().mapToDouble(ClassLaw::share).toArray();
        tenantShares = scenario.tenants().stream().mapToDouble(Tenant::share).toArray();
    }

    /** From now on this share of the requests costs so many times the usual work. */
    public void setHeavyTail(double share, double times) {
        tailShare = share;
        tailTimes = times;
    }

    /** Requests that have not come to their ends. */
    public int open() {
        return open;
    }

    void ended() {
        open--;
    }

    long now() {
        return eventQueue.now();
    }

    RunMetrics metrics() {
        return metrics;
    }

    RequestSink front() {
        return front;
    }

    /** After a try's wait, or as long as the answer advises where clients heed that. */
    void later(int tries, double draw, long retryAfterNs, Runnable task) {
        var law = scenario.clients();
        long wait = (long) (law.backoffNs() * (1L << Math.min(tries - 1, MOST_DOUBLINGS)) * draw);
        eventQueue.scheduleAfter(Math.max(wait, law.heeds() ? retryAfterNs : 0), task);
    }

    private double rate(long at) {
        var law = scenario.clients();
        double rate = law.perSecond();
        long since = at - begin;
        if (law.swingNs() > 0) {
            rate *= 1 + law.swing() * StrictMath.sin(2 * StrictMath.PI * since / law.swingNs());
        }
        for (Surge surge : law.surges()) {
            if (since >= surge.atNs() && since < surge.atNs() + surge.forNs()) {
                rate *= surge.times();
            }
        }
        return rate;
    }

    private double mostRate() {
        double most = scenario.clients().perSecond() * (1 + scenario.clients().swing());
        for (Surge surge : scenario.clients().surges()) {
            most *= Math.max(1, surge.times());
        }
        return most;
    }

    /**
     * Begins to ask, until this time; a rate that changes by thinning (Lewis and Shedler, 1979).
     */
    public void begin(long end) {
        arrive(mostRate(), end);
    }

    private void arrive(double most, long end) {
        long at = eventQueue.now();
        do {
            at += (long) RandomStreams.exponential(arrivals, 1e9 / most);
        } while (at < end && arrivals.nextDouble() * most >= rate(at));
        if (at < end) {
            eventQueue.scheduleAt(
                    at,
                    () -> {
                        open++;
                        ask().attempt();
                        arrive(most, end);
                    });
        }
    }

    private ClientRequest ask() {
        var law = scenario.clients();
        ClassLaw of = scenario.classes().get(drawn(classShares, asks.nextDouble()));
        String tenant =
                tenantShares.length == 0
                        ? null
                        : scenario.tenants().get(drawn(tenantShares, asks.nextDouble())).name();
        double draw = asks.nextDouble();
        double work =
                of.draw() == Draw.FIXED
                        ? of.lowNs()
                        : of.draw() == Draw.UNIFORM
                                ? of.lowNs() + draw * (of.highNs() - of.lowNs())
                                : -of.lowNs() * StrictMath.log(1 - draw);
        if (tails.nextDouble() < tailShare) {
            work *= tailTimes;
        }
        long key = law.keys() > 0 ? 1 + asks.nextLong(law.keys()) : 0;
        int zone = asks.nextInt(scenario.zones().size());
        int tries = law.retries() + 1;
        ClientRequest.Draws draws =
                new ClientRequest.Draws(new double[tries], new double[tries], new double[tries]);
        for (int i = 0; i < tries; i++) {
            draws.patience()[i] =
                    RandomStreams.uniform(asks, law.patienceLow(), law.patienceHigh());
            draws.backoff()[i] = RandomStreams.uniform(asks, 0.5, 1);
            draws.front()[i] = asks.nextDouble();
        }
        return new ClientRequest(this, of, tenant, Math.max(1, work), key, zone, draws);
    }

    private static int drawn(double[] shares, double draw) {
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
