package trailthread;

import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * Ranks requests by how much serving them adds to the goal per unit of work.
 *
 * <p>The goal is a weighted sum of shares of priority weight that is served: of all requests, of
 * the worst window of time, of the worst-served class and of the worst-served tenant. A gain in the
 * worst window is taken to equal one over all requests. If not all requests can be served, those
 * with the largest gain per unit of work go first (the greedy rule for a fractional knapsack:
 * Dantzig, 1957).
 */
final class PriorityPolicy {
    private final ActiveSettings settings;
    private final WorkloadMeans means;
    private final FairShare fairShare;

    /** Priority weight of all recent requests. */
    private final DecayingCounter requested;

    PriorityPolicy(ActiveSettings settings, WorkloadMeans means, FairShare fairShare, long now) {
        this.settings = settings;
        this.means = means;
        this.fairShare = fairShare;
        requested = new DecayingCounter(FairShare.decayNs(settings), now);
    }

    /** Sets the priority weight of a request that has arrived, and counts it as demand. */
    void recordArrival(Request request, long now) {
        Settings s = settings.get();
        RequestClass rules = request.requestClass.rules;
        double work = s.weightByWork ? means.relativeWork(request.workNs) : 1;
        request.weight = Math.min(rules.priorityWeight() * work, Double.MAX_VALUE);
        chargeTenant(request, now);
        request.requestClass.requested.add(now, request.weight);
        requested.add(now, request.weight);
        means.recordObjective(
                rules.latencyObjectiveNs(), shareOf(request.weight, requested.value(now)));
    }

    /** A part of a whole; 0 if the whole is 0, as while all requests have weight 0. */
    private static double shareOf(double part, double whole) {
        return whole > 0 ? part / whole : 0;
    }

    private void chargeTenant(Request request, long now) {
        TenantStats tenant = request.tenant;
        if (tenant == null) {
            return;
        }
        if (tenant.countIfWithinQuota(settings.get().nodes, now)) {
            tenant.requested.add(now, request.weight);
        } else {
            request.weight *= settings.get().overQuotaWeight;
            request.overQuota = true;
        }
    }

    /** Counts a request as served. */
    void recordServed(Request request, long now) {
        double lateShare = request.requestClass.rules.lateWeightShare();
        boolean inTime = now <= request.objectiveAt;
        double earned = inTime ? request.weight : request.weight * lateShare;
        request.requestClass.served.add(now, earned);
        if (request.tenant != null) {
            request.tenant.served.add(now, earned);
        }
    }

    /**
     * The weight that a request is expected to earn per unit of work. The probability that the
     * request still meets its objective is estimated as {@code x^3 / (1 + x^3)}, where x is the
     * time left to the objective in mean latencies.
     */
    double weightPerWork(Request request, long now) {
        double latenciesLeft =
                Math.max(0, request.objectiveAt - now) / Math.max(1, means.latencyNs());
        double probability =
                latenciesLeft
                        * latenciesLeft
                        * latenciesLeft
                        / (1 + latenciesLeft * latenciesLeft * latenciesLeft);
        double lateShare = request.requestClass.rules.lateWeightShare();
        return request.weight * (lateShare + (1 - lateShare) * probability) / relativeWork(request);
    }

    /**
     * What serving the request is expected to add to the goal per unit of work; 0 for a request of
     * weight 0, however much a unit of weight would add.
     */
    double valuePerWork(Request request, MarginalGain gain, long now) {
        double weight = weightPerWork(request, now);
        return weight > 0 ? gain.gainFor(request.requestClass, request.tenant) * weight : 0;
    }

    private double relativeWork(Request request) {
        if (means.canCompare(request.workNs)) {
            return means.relativeWork(request.workNs);
        }
        double classNs = Math.max(1, request.requestClass.latencyNs());
        return classNs / Math.max(1, means.latencyNs());
    }

    /** What one more unit of served weight adds to the goal at present. */
    MarginalGain marginalGain(long now) {
        Settings s = settings.get();
        double base = shareOf(s.goalOverall + s.goalWorstWindow, requested.value(now));
        RequestClassStats worstClass = fairShare.worstClass(now);
        TenantStats worstTenant = fairShare.worstTenant(now);
        double classGain =
                worstClass == null ? 0 : s.goalWorstClass / worstClass.requested.value(now);
        double tenantGain =
                worstTenant == null ? 0 : s.goalWorstTenant / worstTenant.requested.value(now);
        return new MarginalGain(base, worstClass, classGain, worstTenant, tenantGain);
    }

    /**
     * What one more unit of served weight adds to the goal.
     *
     * @param base the gain for any request
     * @param classGain the additional gain for a request of the worst-served class
     * @param tenantGain the additional gain for a request of the worst-served tenant
     */
    record MarginalGain(
            double base,
            RequestClassStats worstClass,
            double classGain,
            TenantStats worstTenant,
            double tenantGain) {
        /** The gain for a request of this class and tenant; the tenant may be null. */
        double gainFor(RequestClassStats requestClass, TenantStats tenant) {
            double gain = base + (requestClass == worstClass ? classGain : 0);
            return gain + (tenant != null && tenant == worstTenant ? tenantGain : 0);
        }
    }
}
