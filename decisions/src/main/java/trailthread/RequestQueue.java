package trailthread;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import trailthread.api.BalancerActions;

/**
 * Requests that wait for an endpoint to open, in a lane for each class and tenant, within its quota
 * or over it.
 *
 * <p>The lane whose newest request adds most to the goal goes first, and in a lane the newest
 * request: under overload the oldest are the likeliest to come too late (adaptive LIFO; Maurer,
 * "Fail at Scale", 2015).
 */
final class RequestQueue {
    /** Queued requests are looked at again after this share of the tightest latency objective. */
    private static final double RELEASE_OBJECTIVE_SHARE = 0.05;

    /** What is done with a queued request; whether it has been done. */
    interface RequestAction {
        boolean apply(Request request, long now);
    }

    /** Requests of one kind, the oldest first. */
    private static final class Lane {
        private final RequestClassStats requestClass;
        private final TenantStats tenant;
        private final boolean overQuota;

        /** Retries are apart from first attempts: not every endpoint may be open to them. */
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

        /** Whether any endpoint that is open at all is open to these requests. */
        boolean mayUseAnyOpenEndpoint() {
            return !retries && requests.peekLast().isIdempotent();
        }
    }

    private final ActiveSettings settings;
    private final PriorityPolicy priorities;
    private final BalancerActions actions;
    private final RandomSource random;
    private final RequestAction sendIfOpen;
    private final RequestAction rejectIfLate;
    private final List<Lane> lanes = new ArrayList<>();
    private int size;
    private boolean releaseTimerSet;

    /**
     * @param sendIfOpen sends a request, if an endpoint is open to it
     * @param rejectIfLate answers a request, if it can no longer be served in time
     */
    RequestQueue(
            ActiveSettings settings,
            PriorityPolicy priorities,
            BalancerActions actions,
            RandomSource random,
            RequestAction sendIfOpen,
            RequestAction rejectIfLate) {
        this.settings = settings;
        this.priorities = priorities;
        this.actions = actions;
        this.random = random;
        this.sendIfOpen = sendIfOpen;
        this.rejectIfLate = rejectIfLate;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Requests in all lanes, with those that are over and not yet dropped. */
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

    /** The release timer is due. */
    void timerDue(long now) {
        releaseTimerSet = false;
        release(now);
    }

    private void setReleaseTimer() {
        if (!releaseTimerSet) {
            releaseTimerSet = true;
            double delayNs = RELEASE_OBJECTIVE_SHARE * settings.tightestObjectiveNs();
            double timerNs = Math.max(settings.get().tickNs, delayNs);
            actions.timer(random.jittered(timerNs), TimerKind.QUEUE_RELEASE.token(0));
        }
    }

    /** Dispatches requests while any endpoint is open to them. */
    void release(long now) {
        if (size == 0) {
            return;
        }
        PriorityPolicy.MarginalGain gain = priorities.marginalGain(now);
        List<Lane> blocked = new ArrayList<>();
        Lane best = bestLane(gain, blocked, now);
        while (best != null) {
            if (sendIfOpen.apply(best.requests.peekLast(), now)) {
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

    /** The lane whose newest request adds most to the goal, or null: none is left. */
    private Lane bestLane(PriorityPolicy.MarginalGain gain, List<Lane> blocked, long now) {
        Lane best = null;
        double bestValue = -1;
        for (int i = 0; i < lanes.size(); i++) {
            Lane lane = lanes.get(i);
            trim(lane, now);
            if (lane.requests.isEmpty() || blocked.contains(lane)) {
                continue;
            }
            double value =
                    gain.gainFor(lane.requestClass, lane.tenant)
                            * priorities.weightPerWork(lane.requests.peekLast(), now);
            if (value > bestValue) {
                bestValue = value;
                best = lane;
            }
        }
        return best;
    }

    /** Drops finished requests from both ends of a lane, and rejects late ones from the new end. */
    private void trim(Lane lane, long now) {
        ArrayDeque<Request> requests = lane.requests;
        while (!requests.isEmpty() && requests.peekFirst().finished) {
            requests.removeFirst();
            size--;
        }
        while (!requests.isEmpty() && isDone(requests.peekLast(), now)) {
            requests.removeLast();
            size--;
        }
    }

    private boolean isDone(Request request, long now) {
        return request.finished || rejectIfLate.apply(request, now);
    }
}
