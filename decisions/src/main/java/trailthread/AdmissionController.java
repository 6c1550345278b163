package trailthread;

import trailthread.api.Admission;
import trailthread.api.RequestClass;

/**
 * Which requests are accepted, and until when a queued one may still be sent.
 *
 * <p>A request that can't be served in time is rejected as soon as that is certain: held to its
 * deadline, it would cost its client the time in which to come back.
 */
final class AdmissionController {
    /** Without a valid endpoint list, requests wait for this share of their time. */
    private static final double WAIT_FOR_LIST_SHARE = 0.25;

    private final ActiveSettings settings;
    private final WorkloadMeans means;
    private final RandomSource random;

    /** What the host admits; null: everything. */
    private Admission admission;

    /** Nothing is sent by the list then or later, by the clock of the events. */
    private long listLeaseUntil = Long.MAX_VALUE;

    AdmissionController(ActiveSettings settings, WorkloadMeans means, RandomSource random) {
        this.settings = settings;
        this.means = means;
        this.random = random;
    }

    void setAdmission(Admission next) {
        admission = next;
    }

    void setListLease(long until) {
        listLeaseUntil = until;
    }

    boolean hasListLease(long now) {
        return now < listLeaseUntil;
    }

    /** Whether the host admits the request. */
    boolean admits(Request request) {
        return admission == null
                || admission.admits(
                        request.requestClass.rules.name(), request.overQuota, random.uniform());
    }

    /** Whether the request is not to be sent any more. */
    boolean isTooLate(Request request, long now) {
        return now >= sendableUntil(request, now);
    }

    /**
     * Until when a queued request may be sent: after its latency objective it may earn nothing. One
     * with an attempt in flight has its time.
     */
    long sendableUntil(Request request, long now) {
        if (request.inFlight() > 0) {
            return request.deadline;
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
