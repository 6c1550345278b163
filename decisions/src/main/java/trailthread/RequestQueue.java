package trailthread;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import trailthread.api.BalancerActions;

/**
 * Requests that wait for an endpoint to open. Each class and tenant has its own lanes: for requests
 * within the quota or over it, and for first attempts or retries.
 *
 * <p>The lane whose newest request adds most to the goal is served first. Within a lane, the newest
 * request is sent first: under overload, the oldest requests are the most likely to be too late
 * (adaptive LIFO; Maurer, "Fail at Scale", 2015).
 */
final class RequestQueue {
    /** Queued requests are tried again after this share of the tightest latency objective. */
    private static final double RELEASE_OBJECTIVE_SHARE = 0.05;

    /** An action on a queued request; returns whether it was carried out. */
    interface RequestAction {
        boolean apply(Request request, long now);
    }

    /** Requests that the queue treats alike, the oldest first. */
    private static final class Lane {
        private final RequestClassStats requestClass;
        private final TenantStats tenant;
        private final boolean overQuota;

        /**
         * Whether the lane holds retries. They are kept apart from first attempts, because a retry
         * may not be sent to every endpoint that is open.
         */
        private final boolean retries;

        private final ArrayDeque<Request> requests = new ArrayDeque<>();

        Lane(Request first) {
            requestClass = first.requestClass;
            tenant = first.tenant;
            overQuota = first.overQuota;
            retries = first.attemptsSent() > 0;
        }

        boolean accepts(Request request) {
            return requestClass == request.requestClass
                    && tenant == request.tenant
                    && overQuota == request.overQuota
                    && retries == request.attemptsSent() > 0;
        }

        /** Whether the requests of this lane may be sent to every endpoint that is open. */
        boolean mayUseAnyOpenEndpoint() {
            return !retries && requests.peekLast().isIdempotent();
        }
    }

    private final ActiveSettings settings;
    private final PriorityPolicy priorities;
    private final BalancerActions actions;
    private final RandomSource random;
    private final RequestAction trySend;
    private final RequestAction endIfTooLate;
    private final List<Lane> lanes = new ArrayList<>();
    private int size;
    private boolean releaseTimerSet;

    /**
     * @param trySend sends a request, if an endpoint is open to it
     * @param endIfTooLate rejects or fails a request, if it can no longer be served in time
     */
    RequestQueue(
            ActiveSettings settings,
            PriorityPolicy priorities,
            BalancerActions actions,
            RandomSource random,
            RequestAction trySend,
            RequestAction endIfTooLate) {
        this.settings = settings;
        this.priorities = priorities;
        this.actions = actions;
        this.random = random;
        this.trySend = trySend;
        this.endIfTooLate = endIfTooLate;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /**
     * The number of requests in all lanes, including finished ones that have not been removed yet.
     */
    int size() {
        return size;
    }

    void add(Request request) {
        laneOf(request).requests.addLast(request);
        size++;
        setReleaseTimer();
    }

    private Lane laneOf(Request request) {
        for (int i = 0; i < lanes.size(); i++) {
            Lane lane = lanes.get(i);
            if (lane.accepts(request)) {
                return lane;
            }
        }
        Lane lane = new Lane(request);
        lanes.add(lane);
        return lane;
    }

    /** Handles the release timer when it is due. */
    void timerDue(long now) {
        releaseTimerSet = false;
        release(now);
    }

    private void setReleaseTimer() {
        if (!releaseTimerSet) {
            releaseTimerSet = true;
            double delayNs = RELEASE_OBJECTIVE_SHARE * settings.tightestObjectiveNs();
            double timerNs = Math.max(settings.get().tickNs, delayNs);
            actions.setTimer(random.jittered(timerNs), TimerKind.QUEUE_RELEASE.token(0));
        }
    }

    /** Sends queued requests while an endpoint is open to them. */
    void release(long now) {
        if (size == 0) {
            return;
        }
        PriorityPolicy.MarginalGain gain = priorities.marginalGain(now);
        List<Lane> blocked = new ArrayList<>();
        Lane best = bestLane(gain, blocked, now);
        while (best != null) {
            if (trySend.apply(best.requests.peekLast(), now)) {
                best.requests.removeLast();
                size--;
            } else if (best.mayUseAnyOpenEndpoint()) {
                break; // no endpoint is open at all
            } else {
                blocked.add(best);
            }
            best = bestLane(gain, blocked, now);
        }
        if (size > 0) {
            setReleaseTimer();
        }
    }

    /**
     * The lane whose newest request adds most to the goal, or null if all lanes are empty or
     * blocked.
     */
    private Lane bestLane(PriorityPolicy.MarginalGain gain, List<Lane> blocked, long now) {
        Lane best = null;
        double bestValue = -1;
        for (int i = 0; i < lanes.size(); i++) {
            Lane lane = lanes.get(i);
            trim(lane, now);
            if (lane.requests.isEmpty() || blocked.contains(lane)) {
                continue;
            }
            double value = priorities.valuePerWork(lane.requests.peekLast(), gain, now);
            if (value > bestValue) {
                bestValue = value;
                best = lane;
            }
        }
        return best;
    }

    /**
     * Removes finished requests from both ends of a lane, and rejects or fails the newest requests
     * that are too late.
     */
    private void trim(Lane lane, long now) {
        ArrayDeque<Request> requests = lane.requests;
        while (!requests.isEmpty() && requests.peekFirst().finished) {
            requests.removeFirst();
            size--;
        }
        while (!requests.isEmpty() && isFinishedOrEnded(requests.peekLast(), now)) {
            requests.removeLast();
            size--;
        }
    }

    /** Whether the request is finished; rejects or fails it first if it is too late. */
    private boolean isFinishedOrEnded(Request request, long now) {
        return request.finished || endIfTooLate.apply(request, now);
    }
}
