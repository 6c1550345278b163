package trailthread;

import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * How much serving a request adds to the goal, for each unit of its work.
 *
 * <p>The goal is a weighted sum of the share of all weight that is served, of that of the
 * worst-served class and of that of the worst-served tenant. Where not all can be served, the
 * requests with the largest gain for their work go first (the greedy rule for a fractional
 * knapsack: Dantzig, 1957).
 */
final class PriorityPolicy {
    private final ActiveSettings settings;
    private final WorkloadMeans means;
    private final FairShare fairShare;

    /** Weight of all requests of late. */
    private final DecayingCounter requested;

    PriorityPolicy(ActiveSettings settings, WorkloadMeans means, FairShare fairShare, long now) {
        this.settings = settings;
        this.means = means;
        this.fairShare = fairShare;
        requested = new DecayingCounter(FairShare.decayNs(settings), now);
    }

    /** Gives a request that has arrived its weight, and counts it as demand. */
    void arrived(Request request, long now) {
        Settings s = settings.get();
        RequestClass rules = request.requestClass.rules;
        double work = s.weightByWork ? means.relativeWork(request.workNs) : 1;
        request.weight = rules.priorityWeight() * work;
        chargeTenant(request, now);
        double earlierWeight = requested.value(now);
        means.recordObjective(
                rules.latencyObjectiveNs(), request.weight / (earlierWeight + request.weight));
        request.requestClass.requested.add(now, request.weight);
        requested.add(now, request.weight);
    }

    private void chargeTenant(Request request, long now) {
        TenantStats tenant = request.tenant;
        if (tenant == null) {
            return;
        }
        if (tenant.admitWithinQuota(settings.get().nodes, now)) {
            tenant.requested.add(now, request.weight);
        } else {
            request.weight *= settings.get().overQuotaWeight;
            request.overQuota = true;
        }
    }

    /** Counts a request as served. */
    void served(Request request, long now) {
        double lateShare = request.requestClass.rules.lateWeightShare();
        boolean inTime = now <= request.objectiveAt;
        double earned = inTime ? request.weight : request.weight * lateShare;
        request.requestClass.served.add(now, earned);
        if (request.tenant != null) {
            request.tenant.served.add(now, earned);
        }
    }

    /**
     * The weight that a request is expected to earn for each unit of work, given the chance that it
     * still meets its objective: {@code x^3 / (1 + x^3)} with x the time left in mean latencies.
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
        double base = (s.goalWhole + s.goalWorstWindow) / requested.value(now);
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
     * @param base whoever it is served to
     * @param classGain in addition, if it is served to the worst-served class
     * @param tenantGain in addition, if it is served to the worst-served tenant
     */
    record MarginalGain(
            double base,
            RequestClassStats worstClass,
            double classGain,
            TenantStats worstTenant,
            double tenantGain) {
        /** For a request of this class and tenant, which may be null. */
        double gainFor(RequestClassStats requestClass, TenantStats tenant) {
            double gain = base + (requestClass == worstClass ? classGain : 0);
            return gain + (tenant != null && tenant == worstTenant ? tenantGain : 0);
        }
    }
}
