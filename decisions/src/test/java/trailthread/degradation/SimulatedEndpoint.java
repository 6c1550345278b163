package trailthread.degradation;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import trailthread.api.LoadReport;

/**
 * An endpoint that serves two requests at a time in 40 ms on the mean, more slowly the longer its
 * queue, and rejects requests while 16 are queued. Its load reports are delayed.
 */
final class SimulatedEndpoint {
    static final int SLOTS = 2;
    static final double SERVICE_MS = 40;
    private static final int MAX_QUEUE = 16;

    /** Queue length that doubles the service time. */
    private static final double DOUBLING_QUEUE = 20;

    private final int number;
    private final FleetScenario scenario;
    private final VirtualClock clock;
    private final SplittableRandom random;
    private final boolean failing;
    private final Queue<Runnable> queue = new ArrayDeque<>();

    /** The load of the endpoint at past times, the oldest first. */
    private final ArrayDeque<Load> history = new ArrayDeque<>(List.of(new Load(0, 0, 0)));

    private int busySlots;

    private record Load(long at, int inFlight, int queueLength) {
        LoadReport report() {
            double absent = Double.NaN;
            return new LoadReport(inFlight, queueLength, absent, absent, absent, absent);
        }
    }

    SimulatedEndpoint(
            int number,
            boolean failing,
            FleetScenario scenario,
            VirtualClock clock,
            SplittableRandom random) {
        this.number = number;
        this.failing = failing;
        this.scenario = scenario;
        this.clock = clock;
        this.random = random;
    }

    int number() {
        return number;
    }

    String name() {
        return Integer.toString(number);
    }

    boolean isFailing() {
        return failing;
    }

    boolean isFull() {
        return queue.size() >= MAX_QUEUE;
    }

    /** The load report of the endpoint, or null if it gives none. */
    LoadReport report() {
        Load past = history.getFirst();
        while (history.size() > 1
                && history.getFirst().at() <= clock.now() - scenario.reportAgeNs()) {
            past = history.removeFirst();
        }
        return scenario.reporter().report(number, clock.now(), past.report());
    }

    /** Holds a request of another client at all times. */
    void serveForeignRequests() {
        serve(this::serveForeignRequests);
    }

    /** Queues a request and runs an action when it has been served. */
    void serve(Runnable whenDone) {
        queue.add(whenDone);
        startQueued();
    }

    private void startQueued() {
        while (busySlots < SLOTS && !queue.isEmpty()) {
            Runnable whenDone = queue.remove();
            busySlots++;
            double slowdown = 1 + queue.size() / DOUBLING_QUEUE;
            double ms = SERVICE_MS * slowdown * (0.3 + 0.7 * exponential(random));
            clock.schedule((long) (ms * VirtualClock.MS), () -> finish(whenDone));
        }
        history.add(new Load(clock.now(), busySlots + queue.size(), queue.size()));
    }

    private void finish(Runnable whenDone) {
        busySlots--;
        whenDone.run();
        startQueued();
    }

    /** A number drawn from the exponential distribution with mean 1. */
    static double exponential(SplittableRandom random) {
        return -Math.log(1 - random.nextDouble());
    }
}
