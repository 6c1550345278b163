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
 * each request sends three probes and is sent by what a pool of earlier answers says. Servers with
 * more requests in flight than a quantile of those seen are hot; among the cold the one of least
 * latency is taken, and if all are hot the one with the fewest requests in flight. Figures are the
 * paper's (section 4 and its table of parameters).
 */
final class Prequal extends PlainPolicy {
    private static final int PROBES = 3;

    /** And no more than half of the servers: the paper has far more of these. */
    private static final int POOL = 16;

    private static final long PROBE_LIVES_NS = 1_000_000_000L;
    private static final double HOT_QUANTILE = 0.8408964152537145; // 2^-0.25
    private static final double REMOVED = 1;
    private static final double DELTA = 1;
    private static final int LEAST_POOL = 2;

    private static final class Probe {
        final Endpoint endpoint;
        final long at;
        double inflight;
        final double latencyMs;
        double uses;

        Probe(Endpoint endpoint, long at, double inflight, double latencyMs, double uses) {
            this.endpoint = endpoint;
            this.at = at;
            this.inflight = inflight;
            this.latencyMs = latencyMs;
            this.uses = uses;
        }
    }

    /** The oldest first. */
    private final List<Probe> pool = new ArrayList<>();

    private boolean worstNext;

    Prequal(Settings settings, long seed, BalancerActions actions) {
        super(settings, seed, actions);
    }

    @Override
    public void healthChecked(
            long now, String endpoint, Outcome outcome, long latency, LoadReport load) {
        Endpoint of = known(endpoint);
        if (outcome == Outcome.OK && load != null && of != null) {
            double reuse =
                    Math.max(
                            1,
                            (1 + DELTA)
                                    / ((1 - (double) poolCapacity() / ready().size()) * PROBES
                                            - REMOVED));
            pool.add(
                    new Probe(
                            of,
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
        return Math.max(LEAST_POOL, Math.min(POOL, ready().size() / 2));
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass rules, long now) {
        if (settings.mayCheckHealth) {
            for (int i = 0; i < PROBES; i++) {
                actions.checkHealth(ready().get(random.nextInt(ready().size())).name);
            }
        }
        pool.removeIf(p -> now - p.at > PROBE_LIVES_NS);
        List<Probe> fit = pool.stream().filter(p -> candidates.contains(p.endpoint)).toList();
        if (fit.size() < LEAST_POOL) {
            return candidates.get(random.nextInt(candidates.size()));
        }
        double[] inflight = fit.stream().mapToDouble(p -> p.inflight).sorted().toArray();
        double hot =
                inflight[Math.min(inflight.length - 1, (int) (HOT_QUANTILE * inflight.length))];
        Probe best = null;
        for (Probe p : fit) {
            best = best == null || better(p, best, hot) ? p : best;
        }
        best.inflight++;
        if (--best.uses <= 0) {
            pool.remove(best);
        }
        removeOne(hot);
        return best.endpoint;
    }

    /** Hot-cold lexicographic. */
    private static boolean better(Probe a, Probe b, double hot) {
        boolean aHot = a.inflight > hot;
        boolean bHot = b.inflight > hot;
        return aHot != bHot ? bHot : aHot ? a.inflight < b.inflight : a.latencyMs < b.latencyMs;
    }

    /**
     * One a request, by turns the oldest and the worst, so that the pool does not fill with what
     * was not chosen.
     */
    private void removeOne(double hot) {
        if (pool.size() <= LEAST_POOL) {
            return;
        }
        Probe out = pool.get(0);
        if (worstNext) {
            for (Probe p : pool) {
                out = better(out, p, hot) ? p : out;
            }
        }
        worstNext = !worstNext;
        pool.remove(out);
    }
}
