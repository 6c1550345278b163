package trailthread.degradation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.LoadReportSource;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * Simulates six nodes, each with the real balancer, ten endpoints and their clients, in virtual
 * time. Of the requests, 70 percent are polls, 10 percent actions and 20 percent attempts.
 */
final class DegradationFleet {
    static final int NODES = 6;

    /** Indexes of the classes of requests. */
    static final int POLLS = 0;

    static final int ACTIONS = 1;
    static final int ATTEMPTS = 2;
    static final int CLASSES = 3;

    private static final int ENDPOINTS = 10;
    private static final long SEED = 7;
    private static final double POLL_SHARE = 0.7;
    private static final double POLL_AND_ACTION_SHARE = 0.8;
    private static final long MS = VirtualClock.MS;

    private final FleetScenario scenario;
    private final SplittableRandom random = new SplittableRandom(SEED);
    private final VirtualClock clock = new VirtualClock();
    private final DegradationFleetResults results = new DegradationFleetResults(CLASSES, ENDPOINTS);
    private final List<DegradationFleetNode> nodes = new ArrayList<>();

    /**
     * Creates a fleet.
     *
     * @param withLevels whether nodes have levels of service
     */
    DegradationFleet(FleetScenario scenario, boolean withLevels) {
        this.scenario = scenario;
        List<SimulatedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            boolean failing = i < scenario.failing() * ENDPOINTS;
            endpoints.add(new SimulatedEndpoint(i, failing, scenario, clock, random));
        }
        for (int i = 0; i < scenario.foreignRequests(); i++) {
            endpoints.get(0).serveForeignRequests();
        }
        Settings settings = settings();
        for (int i = 0; i < NODES; i++) {
            settings.nodeIndex = i;
            nodes.add(
                    new DegradationFleetNode(
                            scenario, withLevels, settings, clock, random, endpoints, results));
        }
    }

    /** Runs the fleet until a time, ns. */
    DegradationFleet play(long endNs) {
        scheduleArrival();
        clock.runUntil(endNs);
        return this;
    }

    DegradationFleetResults results() {
        return results;
    }

    private void scheduleArrival() {
        double capacityPerSecond =
                ENDPOINTS * SimulatedEndpoint.SLOTS * 1000 / SimulatedEndpoint.SERVICE_MS;
        double perSecond = scenario.load().applyAsDouble(clock.now()) * capacityPerSecond;
        double seconds = SimulatedEndpoint.exponential(random) / perSecond;
        clock.schedule((long) (seconds * VirtualClock.S), this::arrive);
    }

    private void arrive() {
        int requestClass = drawClass();
        nodes.get(random.nextInt(NODES)).receive(requestClass);
        scheduleArrival();
    }

    private int drawClass() {
        double drawn = random.nextDouble();
        if (drawn < POLL_SHARE) {
            return POLLS;
        }
        return drawn < POLL_AND_ACTION_SHARE ? ACTIONS : ATTEMPTS;
    }

    private static Settings settings() {
        Settings settings = new Settings();
        settings.nodes = NODES;
        settings.reports = LoadReportSource.RESPONSES;
        settings.connectTimeoutNs = 100 * MS;
        settings.classes.add(
                new RequestClass(
                        "bench-state",
                        300 * MS,
                        0,
                        1200 * MS,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0));
        settings.classes.add(
                new RequestClass(
                        "bench-action",
                        200 * MS,
                        0,
                        500 * MS,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.CELL,
                        300 * MS,
                        10,
                        0));
        settings.classes.add(
                new RequestClass(
                        "attempt-use",
                        250 * MS,
                        0,
                        1200 * MS,
                        Idempotency.NOT_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        2,
                        0));
        return settings;
    }
}
