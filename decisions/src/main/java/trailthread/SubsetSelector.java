package trailthread;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import trailthread.api.Settings;

/**
 * Selects the endpoints that this node sends to.
 *
 * <p>Deterministic aperture (Finagle; "Deterministic subsetting", Google SRE book, chapter 20): if
 * hundreds of nodes connected to every endpoint, the endpoints' connection tables would fill up,
 * and each node would get too few responses from an endpoint to learn its latency. The endpoints of
 * each zone form a ring in the order of their hashes. Starting at its own position, a node selects
 * endpoints until their capacity makes up its part of the zone, measured in fully warm endpoints;
 * endpoints that fail, drain or are slow are selected but not counted.
 */
final class SubsetSelector {
    /** The part of the goal that open connections may cost. */
    private static final double CONNECTION_COST = 0.006;

    /** {@link Settings#connectionPrice} is the price of this many connections to each endpoint. */
    private static final double PRICED_CONNECTIONS = 100;

    /**
     * The smallest subset, in fully warm endpoints: fewer could not take over the load of one that
     * fails.
     */
    private static final double MIN_SIZE = 3;

    /** The fractional part of the golden ratio: its multiples spread evenly over a ring. */
    private static final double GOLDEN_RATIO = 0.6180339887498949;

    /**
     * Selection from a ring ends once no more than this is still wanted, in fully warm endpoints.
     */
    private static final double NEGLIGIBLE_CAPACITY = 0.5;

    private static final Comparator<Endpoint> BY_ZONE_AND_HASH =
            Comparator.comparing(Endpoint::zone).thenComparingLong(endpoint -> endpoint.hash);

    private final ActiveSettings settings;
    private final EndpointList list;
    private final EndpointSubset subset;
    private final LoadEstimator estimator;
    private final SlowStart slowStart;
    private final RandomSource random;
    private long selectAgainAt;

    SubsetSelector(
            ActiveSettings settings,
            EndpointList list,
            EndpointSubset subset,
            LoadEstimator estimator,
            SlowStart slowStart,
            RandomSource random) {
        this.settings = settings;
        this.list = list;
        this.subset = subset;
        this.estimator = estimator;
        this.slowStart = slowStart;
        this.random = random;
    }

    /**
     * Whether the subset is due to be selected again, as endpoints may have warmed up or failed
     * since.
     */
    boolean isDue(long now) {
        return now >= selectAgainAt;
    }

    /** Selects the subset from the listed endpoints. */
    void select(long now) {
        Settings s = settings.get();
        int listed = list.size();
        double price = s.connectionPrice;
        double nodesPerEndpoint =
                price > 0 ? PRICED_CONNECTIONS * CONNECTION_COST / price : s.nodes;
        double size = Math.max(MIN_SIZE, nodesPerEndpoint * listed / s.nodes);
        List<Endpoint> selected = size >= listed ? list.all() : selectFromRings(size, now);
        selectAgainAt = now + random.jittered(settings.longestDeadlineNs());
        double sharingNodes = (double) s.nodes * selected.size() / Math.max(1, listed);
        subset.replace(selected, Math.max(1, sharingNodes));
    }

    private List<Endpoint> selectFromRings(double size, long now) {
        List<Endpoint> selected = new ArrayList<>();
        List<Endpoint> sorted = new ArrayList<>(list.all());
        sorted.sort(BY_ZONE_AND_HASH);
        int from = 0;
        while (from < sorted.size()) {
            int to = endOfZone(sorted, from);
            List<Endpoint> ring = sorted.subList(from, to);
            double wanted = Math.max(1, size * ring.size() / sorted.size());
            selectFromRing(ring, wanted, selected, now);
            from = to;
        }
        return selected;
    }

    private static int endOfZone(List<Endpoint> sorted, int from) {
        String zone = sorted.get(from).zone();
        int to = from;
        while (to < sorted.size() && sorted.get(to).zone().equals(zone)) {
            to++;
        }
        return to;
    }

    private void selectFromRing(
            List<Endpoint> ring, double wanted, List<Endpoint> selected, long now) {
        int count = ring.size();
        int start = (int) (GOLDEN_RATIO * (settings.get().nodeIndex + 1) % 1 * count);
        double remaining = wanted;
        for (int i = 0; i < count && remaining > NEGLIGIBLE_CAPACITY; i++) {
            Endpoint endpoint = ring.get((start + i) % count);
            selected.add(endpoint);
            remaining -= isHealthy(endpoint, now) ? slowStart.capacityShare(endpoint, now) : 0;
        }
    }

    private boolean isHealthy(Endpoint endpoint, long now) {
        double usualNs = estimator.allEndpoints().latencyNs();
        boolean slow =
                endpoint.health.isSuspectForCongestion()
                        || estimator.latencyNs(endpoint, now)
                                > OutlierDetector.CONGESTED_LATENCIES * usualNs;
        return endpoint.isReady() && !endpoint.health.isFailing() && !slow;
    }
}
