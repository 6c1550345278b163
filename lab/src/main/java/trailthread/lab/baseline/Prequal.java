package trailthread.lab.baseline;

import java.util.ArrayList;
import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * Prequal (Wydrowski, Kleinberg, Rumble, Archer: "Load is not what you should balance", NSDI 2024):
 * each request triggers three probes, and the server is chosen from a pool of earlier probe
 * results. Servers with more requests in flight than a quantile of the pool are hot. The cold
 * server with the lowest latency is chosen; if all are hot, the one with the fewest requests in
 * flight. Constants are from the paper (section 4 and its table of parameters). Its probes are
 * health checks here.
 */
final class Prequal extends PlainPolicy {
    private static final int PROBES_PER_REQUEST = 3;

    /** Limited to half of the servers as well, because the fleets of the paper are far larger. */
    private static final int MAX_POOL = 16;

    private static final long PROBE_LIFETIME_NS = 1_000_000_000L;
    private static final double HOT_QUANTILE = 0.8408964152537145; // 2^-0.25
    private static final double REMOVED_PER_REQUEST = 1;
    private static final double DELTA = 1;
    private static final int MIN_POOL = 2;

    private static final class Probe {
        final Endpoint endpoint;
        final long receivedAt;
        double inflight;
        final double latencyMs;
        double uses;

        Probe(Endpoint endpoint, long receivedAt, double inflight, double latencyMs, double uses) {
            this.endpoint = endpoint;
            this.receivedAt = receivedAt;
            this.inflight = inflight;
            this.latencyMs = latencyMs;
            this.uses = uses;
        }
    }

    /** Oldest first. */
    private final List<Probe> pool = new ArrayList<>();

    private boolean removeWorstNext;

    Prequal(Settings settings, long seed, BalancerActions actions) {
        super(settings, seed, actions);
    }

    @Override
    public void healthChecked(
            long now, String endpoint, Outcome outcome, long latency, LoadReport load) {
        Endpoint known = byName(endpoint);
        if (outcome == Outcome.OK && load != null && known != null) {
            double reuse =
                    Math.max(
                            1,
                            (1 + DELTA)
                                    / ((1 - (double) poolCapacity() / ready().size())
                                                    * PROBES_PER_REQUEST
                                            - REMOVED_PER_REQUEST));
            pool.add(
                    new Probe(
                            known,
                            now,
                            load.inflight(),
                            load.latencyMs() >= 0 ? load.latencyMs() : 0,
                            reuse));
            if (pool.size() > poolCapacity()) {
                pool.remove(0);
            }
        }
    }

    private int poolCapacity() {
        return Math.max(MIN_POOL, Math.min(MAX_POOL, ready().size() / 2));
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass requestClass, long now) {
        if (settings.mayCheckHealth) {
            for (int i = 0; i < PROBES_PER_REQUEST; i++) {
                actions.checkHealth(ready().get(random.nextInt(ready().size())).name);
            }
        }
        pool.removeIf(probe -> now - probe.receivedAt > PROBE_LIFETIME_NS);
        List<Probe> usable =
                pool.stream().filter(probe -> candidates.contains(probe.endpoint)).toList();
        if (usable.size() < MIN_POOL) {
            return candidates.get(random.nextInt(candidates.size()));
        }
        double[] inflight = usable.stream().mapToDouble(probe -> probe.inflight).sorted().toArray();
        double hotLimit =
                inflight[Math.min(inflight.length - 1, (int) (HOT_QUANTILE * inflight.length))];
        Probe best = null;
        for (Probe probe : usable) {
            best = best == null || better(probe, best, hotLimit) ? probe : best;
        }
        best.inflight++;
        if (--best.uses <= 0) {
            pool.remove(best);
        }
        removeOne(hotLimit);
        return best.endpoint;
    }

    /** The hot-cold lexicographic order of the paper. */
    private static boolean better(Probe a, Probe b, double hotLimit) {
        boolean aHot = a.inflight > hotLimit;
        boolean bHot = b.inflight > hotLimit;
        return aHot != bHot ? bHot : aHot ? a.inflight < b.inflight : a.latencyMs < b.latencyMs;
    }

    /**
     * Removes one probe for each request, alternately the oldest and the worst, so that the pool
     * does not fill with results that were never chosen.
     */
    private void removeOne(double hotLimit) {
        if (pool.size() <= MIN_POOL) {
            return;
        }
        Probe out = pool.get(0);
        if (removeWorstNext) {
            for (Probe probe : pool) {
                out = better(out, probe, hotLimit) ? probe : out;
            }
        }
        removeWorstNext = !removeWorstNext;
        pool.remove(out);
    }
}
