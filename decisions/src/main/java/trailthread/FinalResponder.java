package trailthread;

import trailthread.api.BalancerActions;
import trailthread.api.Settings;

/** Gives the final answer to requests that can't be served. */
final class FinalResponder {
    private final ActiveSettings settings;
    private final BalancerActions actions;
    private final RandomSource random;

    FinalResponder(ActiveSettings settings, BalancerActions actions, RandomSource random) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
    }

    /** Refuses the request if its client may safely send it again, else fails it. */
    void answer(Request request) {
        request.finished = true;
        if (RetryPolicy.mayRefuse(request)) {
            actions.refuse(request.id, retryAfterNs());
        } else {
            actions.fail(request.id);
        }
    }

    /**
     * A random Retry-After, or 0 for none. Random, as clients that all came back at the same time
     * would prolong the overload.
     */
    private long retryAfterNs() {
        Settings s = settings.get();
        long spreadNs = random.jittered(s.maxRetryAfterNs / (1 + RandomSource.JITTER));
        return s.retryAfter ? spreadNs : 0;
    }
}
