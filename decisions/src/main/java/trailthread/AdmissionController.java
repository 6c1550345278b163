package trailthread;

import trailthread.api.Admission;
import trailthread.api.RequestClass;

/**
 * Decides which requests are admitted, and until when a queued request may still be sent.
 *
 * <p>A request that can no longer be served in time is rejected at once. Holding it until its
 * deadline would leave its client no time to send it again.
 */
final class AdmissionController {
    /**
     * While no lease on the endpoint list is held, a request waits for at most this share of the
     * time from its arrival to its deadline.
     */
    private static final double WAIT_FOR_LIST_SHARE = 0.25;

    private final ActiveSettings settings;
    private final WorkloadMeans means;
    private final RandomSource random;

    /** The host's admission rule; null admits every request. */
    private Admission admission;

    /**
     * When the lease on the endpoint list ends, by the clock of the events: no attempt is sent then
     * or later.
     */
    private long listLeaseEnd = Long.MAX_VALUE;

    AdmissionController(ActiveSettings settings, WorkloadMeans means, RandomSource random) {
        this.settings = settings;
        this.means = means;
        this.random = random;
    }

    void setAdmission(Admission next) {
        admission = next;
    }

    void setListLeaseEnd(long until) {
        listLeaseEnd = until;
    }

    boolean hasListLease(long now) {
        return now < listLeaseEnd;
    }

    /** Whether the host admits the request. */
    boolean admits(Request request) {
        return admission == null
                || admission.admits(
                        request.requestClass.rules.name(), request.overQuota, random.uniform());
    }

    /** Whether it is too late to send the request. */
    boolean isTooLate(Request request, long now) {
        return now >= sendableUntil(request, now);
    }

    /**
     * Until when a queued request may be sent. A request with an attempt in flight may wait until
     * its deadline, or longer if the response has begun. Any other request must be sent half a mean
     * latency before a response stops earning weight, which is at its latency objective if its
     * class gives late responses no weight, else at its deadline. A retry must also leave time to
     * connect before {@link Request#retryableUntil}.
     */
    long sendableUntil(Request request, long now) {
        if (request.inFlight() > 0) {
            return Math.max(request.deadline, request.responseHeldUntil);
        }
        RequestClass rules = request.requestClass.rules;
        long usefulUntil = rules.lateWeightShare() > 0 ? request.deadline : request.objectiveAt;
        long until = usefulUntil - (long) (means.latencyNs() / 2);
        if (!hasListLease(now)) {
            long timeToDeadlineNs = request.deadline - request.arrivedAt;
            until =
                    Math.min(
                            until,
                            request.arrivedAt + (long) (WAIT_FOR_LIST_SHARE * timeToDeadlineNs));
        }
        return Math.min(until, request.retryableUntil() - settings.get().connectTimeoutNs);
    }
}
