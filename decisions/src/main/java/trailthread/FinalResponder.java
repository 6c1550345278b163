package trailthread;

import trailthread.api.BalancerActions;
import trailthread.api.Settings;

/** Rejects or fails requests that can't be served. */
final class FinalResponder {
    private final ActiveSettings settings;
    private final BalancerActions actions;
    private final RandomSource random;

    FinalResponder(ActiveSettings settings, BalancerActions actions, RandomSource random) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
    }

    /** Rejects the request if its client may safely send it again, else fails it. */
    void rejectOrFail(Request request) {
        request.finished = true;
        if (RetryPolicy.mayReject(request)) {
            actions.reject(request.id, retryAfterNs());
        } else {
            actions.fail(request.id);
        }
    }

    /**
     * The Retry-After, or 0 for none. It is random, as clients that all retried at the same time
     * would prolong the overload.
     */
    private long retryAfterNs() {
        Settings s = settings.get();
        long randomNs = random.jittered(s.maxRetryAfterNs / (1 + RandomSource.JITTER));
        return s.retryAfter ? randomNs : 0;
    }
}
