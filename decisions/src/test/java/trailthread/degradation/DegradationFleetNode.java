package trailthread.degradation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import trailthread.Balancer;
import trailthread.api.BalancerActions;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * A node with the real balancer and, optionally, levels of service that shed requests before the
 * balancer.
 */
final class DegradationFleetNode implements BalancerActions {
    private static final long MS = VirtualClock.MS;
    private static final long S = VirtualClock.S;
    private static final long NETWORK_DELAY_NS = MS / 2;
    private static final long FAST_FAILURE_NS = 2 * MS;
    private static final long READING_INTERVAL_NS = 250 * MS;
    private static final long STARVED_SPAN_NS = 10 * S;
    private static final double FAILING_ERROR_SHARE = 0.3;
    private static final double ERROR_SMOOTHING = 0.1;

    private final FleetScenario scenario;
    private final boolean withLevels;
    private final Settings settings;
    private final VirtualClock clock;
    private final SplittableRandom random;
    private final List<SimulatedEndpoint> endpoints;
    private final DegradationFleetResults results;
    private final Balancer balancer;
    private final SheddingOrder order;
    private final DegradationController controller;
    private final List<ClientRequest> requests = new ArrayList<>();
    private final DecayingShare starved = new DecayingShare(STARVED_SPAN_NS, 0);

    /** The smoothed share of errors among the outcomes of each endpoint. */
    private final double[] errorShares;

    private static final class ClientRequest {
        final int requestClass;
        final long arrivedAt;
        long firstSentAt = -1;
        int attempts;
        boolean finished;

        ClientRequest(int requestClass, long arrivedAt) {
            this.requestClass = requestClass;
            this.arrivedAt = arrivedAt;
        }
    }

    private static final class Attempt {
        final long requestId;
        final int number;
        final SimulatedEndpoint endpoint;
        final long sentAt;
        boolean finished;

        Attempt(long requestId, int number, SimulatedEndpoint endpoint, long sentAt) {
            this.requestId = requestId;
            this.number = number;
            this.endpoint = endpoint;
            this.sentAt = sentAt;
        }
    }

    DegradationFleetNode(
            FleetScenario scenario,
            boolean withLevels,
            Settings settings,
            VirtualClock clock,
            SplittableRandom random,
            List<SimulatedEndpoint> endpoints,
            DegradationFleetResults results) {
        this.scenario = scenario;
        this.withLevels = withLevels;
        this.settings = settings;
        this.clock = clock;
        this.random = random;
        this.endpoints = endpoints;
        this.results = results;
        errorShares = new double[endpoints.size()];
        order = new SheddingOrder(settings.classes, List.of());
        controller = new DegradationController(new DegradationPlan(), order);
        balancer = new Balancer(settings, random.nextLong(), 0, this);
        balancer.updateEndpointList(
                0, ListKind.FULL, endpoints.stream().map(DegradationFleetNode::entry).toList());
        if (withLevels) {
            readAndSchedule();
        }
    }

    private static EndpointEntry entry(SimulatedEndpoint endpoint) {
        return new EndpointEntry(endpoint.name(), 1, EndpointState.READY, "", 0, 0);
    }

    private void readAndSchedule() {
        long failing = Arrays.stream(errorShares).filter(e -> e > FAILING_ERROR_SHARE).count();
        double failingShare = failing / (double) endpoints.size();
        double starvedShare = starved.share(clock.now());
        Readings readings =
                new Readings(
                        clock.now(),
                        failingShare,
                        scenario.reportAgeNs(),
                        0,
                        0,
                        0,
                        starvedShare,
                        0);
        controller.update(readings).ifPresent(results.changes::add);
        clock.schedule(READING_INTERVAL_NS, this::readAndSchedule);
    }

    /** A client's request of a class, by its index, arrives. */
    void receive(int classIndex) {
        results.arrived[classIndex]++;
        RequestClass requestClass = settings.classes.get(classIndex);
        if (withLevels && !isAdmitted(requestClass)) {
            return;
        }
        long now = clock.now();
        long id = requests.size();
        requests.add(new ClientRequest(classIndex, now));
        clock.schedule(requestClass.deadlineNs(), () -> deadlinePassed(id));
        long deadline = now + requestClass.deadlineNs();
        balancer.requestArrived(now, id, requestClass.name(), 0, deadline, null, false, 0);
    }

    private boolean isAdmitted(RequestClass requestClass) {
        return controller.sheddingPolicy().admits(requestClass.name(), false, random.nextDouble());
    }

    private void deadlinePassed(long id) {
        end(id, false);
        balancer.clientDisconnected(clock.now(), id);
    }

    private void end(long id, boolean answered) {
        ClientRequest request = requests.get((int) id);
        if (request.finished) {
            return;
        }
        request.finished = true;
        RequestClass requestClass = settings.classes.get(request.requestClass);
        long objectiveNs = requestClass.latencyObjectiveNs();
        if (answered && clock.now() - request.arrivedAt <= objectiveNs) {
            results.served[request.requestClass]++;
        }
        if (order.isOutsideSafeReach(requestClass.name())) {
            boolean sentLate = request.firstSentAt - request.arrivedAt > objectiveNs / 10;
            starved.count(clock.now(), !answered || sentLate);
        }
    }

    @Override
    public void send(long id, long timeoutNs, long writeDeadline, String endpointName) {
        ClientRequest request = requests.get((int) id);
        long now = clock.now();
        if (request.firstSentAt < 0) {
            request.firstSentAt = now;
        }
        SimulatedEndpoint endpoint = endpoints.get(Integer.parseInt(endpointName));
        results.sent[endpoint.number()]++;
        Attempt attempt = new Attempt(id, request.attempts++, endpoint, now);
        long deadlineNs = settings.classes.get(request.requestClass).deadlineNs();
        long leftNs = request.arrivedAt + deadlineNs + settings.responseSlackNs - now;
        clock.schedule(
                timeoutNs > 0 ? timeoutNs : leftNs, () -> endAttempt(attempt, Outcome.TIMEOUT));
        clock.schedule(NETWORK_DELAY_NS, () -> arriveAtEndpoint(attempt));
    }

    private void arriveAtEndpoint(Attempt attempt) {
        SimulatedEndpoint endpoint = attempt.endpoint;
        if (endpoint.isFailing()) {
            endAttemptAfter(FAST_FAILURE_NS, attempt, Outcome.ERROR);
        } else if (endpoint.isFull()) {
            endAttemptAfter(NETWORK_DELAY_NS, attempt, Outcome.REJECTED);
        } else {
            endpoint.serve(() -> endAttemptAfter(NETWORK_DELAY_NS, attempt, Outcome.OK));
        }
    }

    private void endAttemptAfter(long ns, Attempt attempt, Outcome outcome) {
        clock.schedule(ns, () -> endAttempt(attempt, outcome));
    }

    private void endAttempt(Attempt attempt, Outcome outcome) {
        if (attempt.finished) {
            return;
        }
        attempt.finished = true;
        SimulatedEndpoint endpoint = attempt.endpoint;
        if (outcome != Outcome.REJECTED) {
            double error = outcome == Outcome.OK ? 0 : 1;
            int number = endpoint.number();
            errorShares[number] += ERROR_SMOOTHING * (error - errorShares[number]);
        }
        long id = attempt.requestId;
        boolean answersClient = outcome == Outcome.OK && !requests.get((int) id).finished;
        if (answersClient) {
            end(id, true);
        }
        long now = clock.now();
        long latencyNs = now - attempt.sentAt;
        balancer.attemptEnded(
                now, id, attempt.number, outcome, latencyNs, answersClient, endpoint.report());
    }

    @Override
    public void reject(long id, long retryAfterNs) {
        end(id, false);
    }

    @Override
    public void fail(long id) {
        end(id, false);
    }

    @Override
    public void setTimer(long delayNs, long token) {
        clock.schedule(delayNs, () -> balancer.timerFired(clock.now(), token));
    }

    @Override
    public void cancel(long id, int attempt) {}

    @Override
    public void checkHealth(String endpoint) {}

    @Override
    public void closeIdleConnections(String endpoint) {}

    @Override
    public void sendToPeer(int peer, byte[] data) {}

    @Override
    public void watchList(boolean on) {}

    @Override
    public void fetchList() {}

    @Override
    public void log(String text) {}
}
