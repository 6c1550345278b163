package trailthread;

import java.util.List;
import trailthread.api.Admission;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.api.Settings;

/**
 * The state machine that makes the decisions of one node. It takes events and calls actions, both
 * declared in {@link trailthread.api}. Time comes with the events, randomness from the seed. Not
 * thread-safe.
 *
 * <p>The life of a request: {@link #requestArrived}; {@link AdmissionController}; {@link
 * AttemptSender} with {@link EndpointPicker}, or {@link RequestQueue} if other requests wait or no
 * endpoint is open ({@link ConcurrencyLimiter#isOpen}); {@link #attemptEnded} with {@link
 * AttemptRecorder}; then the request is served, retried by {@link RetryPolicy}, or rejected or
 * failed by {@link FinalResponder}. The modules keep their own state, and this class calls them in
 * order.
 */
public final class Balancer implements BalancerEvents {
    private final BalancerActions actions;
    private final ActiveSettings settings;
    private final WorkloadMeans means;
    private final RateLimitedLog log;

    private final EndpointSubset subset = new EndpointSubset();
    private final EndpointDirectory endpoints;
    private final OutlierDetector outliers;
    private final KeyAffinity affinity;
    private final AttemptSender sender;
    private final AttemptRecorder recorder;

    private final FairShare fairShare = new FairShare();
    private final PriorityPolicy priorities;
    private final AdmissionController admissions;
    private final RetryBudget retryBudget = new RetryBudget();
    private final RetryPolicy retries;
    private final FinalResponder responder;
    private final RequestQueue queue;
    private final OpenRequests requests = new OpenRequests();

    /**
     * Creates a balancer without endpoints; {@link BalancerEvents#updateEndpointList} adds them.
     *
     * @throws IllegalArgumentException if a setting is out of range; the message names the first
     *     one
     */
    public Balancer(Settings initial, long seed, long now, BalancerActions actions) {
        this.actions = actions;
        RandomSource random = new RandomSource(seed);
        settings = new ActiveSettings(initial);
        means = new WorkloadMeans(settings.tightestObjectiveNs());
        log = new RateLimitedLog(actions, settings, now);
        LoadEstimator estimator = new LoadEstimator(settings, means);
        InFlightTracker inFlight = new InFlightTracker(settings, means);
        SlowStart slowStart = new SlowStart(settings, means, subset, random, now);
        outliers = new OutlierDetector(settings, estimator, subset, random, log);
        ConcurrencyLimiter limiter =
                new ConcurrencyLimiter(
                        settings, means, estimator, inFlight, slowStart, outliers, subset, random);
        endpoints =
                new EndpointDirectory(
                        settings, means, subset, estimator, slowStart, limiter, random, actions,
                        log);
        affinity = new KeyAffinity(settings, random);
        Lottery lottery = new Lottery(settings, estimator, limiter, slowStart, random);
        EndpointPicker picker =
                new EndpointPicker(
                        settings, means, subset, estimator, slowStart, outliers, limiter, affinity,
                        lottery);
        recorder = new AttemptRecorder(means, estimator, inFlight, slowStart, outliers, limiter);
        fairShare.applySettings(settings, now);
        priorities = new PriorityPolicy(settings, means, fairShare, now);
        admissions = new AdmissionController(settings, means, random);
        retries = new RetryPolicy(settings, means, retryBudget);
        sender =
                new AttemptSender(
                        admissions, retries, inFlight, slowStart, outliers, picker, actions);
        responder = new FinalResponder(settings, actions, random);
        queue =
                new RequestQueue(
                        settings, priorities, actions, random, sender::trySend, this::endIfTooLate);
    }

    /**
     * Replaces the settings. Statistics are kept, and requests keep the class that they arrived
     * with.
     *
     * @throws IllegalArgumentException if a setting is out of range; the message names the first
     *     one; the current settings stay in force
     */
    public void applySettings(long now, Settings next) {
        settings.replace(next);
        fairShare.applySettings(settings, now);
    }

    /** How many listed endpoints get no requests at present because they drain or are ejected. */
    public int countAvoided(long now) {
        return outliers.countAvoided(endpoints.all(), now);
    }

    // ---- the endpoint list ----

    @Override
    public void updateEndpointList(long now, ListKind kind, List<EndpointEntry> entries) {
        if (kind == ListKind.FAILED) {
            endpoints.listFailed(now);
            return;
        }
        endpoints.update(kind, entries, now);
        queue.release(now);
    }

    @Override
    public void setListLeaseEnd(long now, long until) {
        admissions.setListLeaseEnd(until);
        queue.release(now);
    }

    @Override
    public void healthChecked(
            long now, String endpoint, Outcome outcome, long latencyNs, LoadReport load) {
        Endpoint known = endpoints.get(endpoint);
        if (known != null && load != null) {
            known.load.record(load, now);
        }
    }

    // ---- requests ----

    @Override
    public void setAdmission(Admission admission) {
        admissions.setAdmission(admission);
    }

    @Override
    public void requestArrived(
            long now,
            long id,
            String requestClass,
            long workNs,
            long deadline,
            String tenant,
            boolean clientRetry,
            long key) {
        Settings s = settings.get();
        RequestClassStats classStats = fairShare.requestClass(requestClass);
        boolean hasAffinity = s.keyAffinity && key != 0;
        Request request =
                new Request(
                        id,
                        classStats,
                        fairShare.tenant(tenant),
                        hasAffinity ? affinity.spreadKey(key, subset.size()) : key,
                        workNs,
                        now,
                        deadline,
                        s.maxAttempts);
        requests.add(request);
        retryBudget.deposit();
        means.recordWork(workNs);
        endpoints.refreshSubset(now);
        priorities.recordArrival(request, now);
        if (!admissions.admits(request)) {
            rejectOrFail(request);
            return;
        }
        setSendableTimer(request, now);
        if (!queue.isEmpty()) {
            enqueue(request, now);
            queue.release(now);
        } else {
            sendOrEnqueue(request, now);
        }
    }

    @Override
    public void clientDisconnected(long now, long id) {
        Request request = requests.get(id);
        if (request != null) {
            request.finished = true;
            requests.removeIfComplete(request);
        }
    }

    @Override
    public void timerFired(long now, long token) {
        long id = TimerKind.id(token);
        switch (TimerKind.of(token)) {
            case SENDABLE_UNTIL -> sendableTimerDue(requests.get(id), now);
            case LIST_POLL -> endpoints.pollTimerDue(id, now);
            case QUEUE_RELEASE -> queue.timerDue(now);
            case HEALTH_CHECK -> endpoints.healthCheckTimerDue(now);
            default -> throw new IllegalArgumentException("timer token " + token);
        }
    }

    private void setSendableTimer(Request request, long now) {
        long delayNs = admissions.sendableUntil(request, now) - now;
        actions.setTimer(delayNs, TimerKind.SENDABLE_UNTIL.token(request.id));
    }

    private void sendableTimerDue(Request request, long now) {
        boolean isPending = request != null && !request.finished && !request.streaming;
        if (isPending && !endIfTooLate(request, now)) {
            setSendableTimer(request, now);
        }
    }

    private void sendOrEnqueue(Request request, long now) {
        if (!sender.trySend(request, now)) {
            enqueue(request, now);
        }
    }

    private void enqueue(Request request, long now) {
        if (!endIfTooLate(request, now)) {
            setSendableTimer(request, now);
            queue.add(request);
        }
    }

    private boolean endIfTooLate(Request request, long now) {
        if (!admissions.isTooLate(request, now)) {
            return false;
        }
        if (!queue.isEmpty() && log.tryAcquire(RateLimitedLog.Kind.REJECTING, now)) {
            log.write("turning requests away: no backend is open, held " + queue.size());
        }
        rejectOrFail(request);
        return true;
    }

    private void rejectOrFail(Request request) {
        responder.rejectOrFail(request);
        requests.removeIfComplete(request);
    }

    // ---- attempts ----

    @Override
    public void bodyStreamed(long now, long id, int number) {
        requests.attemptInFlight(id, number).ifPresent(recorder::recordStreamedBody);
    }

    @Override
    public void responseBegan(long now, long id, int number, long heldUntil) {
        requests.holdUntil(id, number, heldUntil);
    }

    @Override
    public void firstByteReceived(long now, long id, int number) {
        Request request = requests.get(id);
        Attempt attempt = request == null ? null : request.attempt(number);
        if (attempt != null && !request.streaming) {
            request.streaming = true;
            recorder.recordFirstByte(request, attempt, now);
        }
    }

    @Override
    public void attemptEnded(
            long now,
            long id,
            int number,
            Outcome outcome,
            long latencyNs,
            boolean finished,
            LoadReport load) {
        Request request = requests.get(id);
        Attempt attempt = request == null ? null : request.inFlightAttempt(number);
        if (attempt == null) {
            return;
        }
        request.endAttempt(attempt, outcome);
        recorder.recordEnd(request, attempt, latencyNs, load, now);
        if (outcome == Outcome.OK && finished && !request.finished) {
            priorities.recordServed(request, now);
        }
        request.finished |= finished;
        if (!request.finished && !request.streaming && request.inFlight() == 0) {
            retry(request, now);
        }
        requests.removeIfComplete(request);
        queue.release(now);
    }

    private void retry(Request request, long now) {
        if (retries.acquireRetry(request, now)) {
            sendOrEnqueue(request, now);
        } else {
            rejectOrFail(request);
        }
    }
}
