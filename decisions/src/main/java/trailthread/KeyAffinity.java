package trailthread;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.WeightMeaning;

/**
 * Sends all requests for one key to the same endpoint, where an endpoint that recently served a key
 * serves it again with less work.
 *
 * <p>Weighted rendezvous hashing (Thaler and Ravishankar, 1998; Schindelhauer and Schomaker, 2005)
 * with bounded loads (Mirrokni et al., 2018): for each key, all nodes rank the endpoints in the
 * same order. The key's home is the first of them that is open and has less than {@link
 * #LOAD_BOUND} times its fair share of this node's attempts in flight. If a key spilled over to
 * random endpoints instead, each of them would have to load its data and would evict that of other
 * keys. Without the bound, popular keys would overload their endpoints.
 */
final class KeyAffinity {
    /**
     * An endpoint takes at most this multiple of its fair share of this node's attempts in flight.
     */
    private static final double LOAD_BOUND = 1.5;

    /** The counts of keys are halved once they add up to more than this. */
    private static final double HALVING_COUNT = 1000;

    /** Instead of an index: the request has no home endpoint. */
    static final int NONE = -1;

    private final ActiveSettings settings;
    private final RandomSource random;

    /** Recent requests by key. */
    private final Map<Long, Double> countsByKey = new LinkedHashMap<>();

    /** Recent requests of all keys together. */
    private double totalCount;

    KeyAffinity(ActiveSettings settings, RandomSource random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * The key to use for a request. A popular key is split into several keys, each with its own
     * endpoint. With hundreds of nodes, no node can see from its own requests that all nodes
     * together overload the key's endpoint.
     *
     * @param endpoints how many endpoints this node sends to
     */
    long spreadKey(long key, int endpoints) {
        double count = countsByKey.merge(key, 1.0, Double::sum);
        totalCount++;
        if (totalCount > HALVING_COUNT) {
            halveCounts();
        }
        double shareLowerBound = Math.max(0, count - Math.sqrt(count)) / totalCount;
        int parts = (int) Math.ceil(shareLowerBound * endpoints / LOAD_BOUND);
        return parts <= 1 ? key : HashMixer.mix(key + random.below(parts));
    }

    private void halveCounts() {
        totalCount /= 2;
        countsByKey.replaceAll((key, count) -> count / 2);
        countsByKey.values().removeIf(count -> count < 1);
    }

    /**
     * The index of a key's home, or {@link #NONE} if no endpoint is open to the request.
     *
     * @param candidates which of the endpoints are open
     */
    int findHome(long key, List<Endpoint> endpoints, Candidates candidates) {
        WeightMeaning meaning = settings.get().weights;
        boolean byWeight = meaning == WeightMeaning.NOMINAL || meaning == WeightMeaning.ROUGH;
        double totalInFlight = 1; // includes the attempt to be sent
        double totalSize = 0;
        for (int i = 0; i < endpoints.size(); i++) {
            if (candidates.isOpen(i)) {
                totalInFlight += endpoints.get(i).inFlight.count();
                totalSize += endpoints.get(i).size(byWeight);
            }
        }
        int home = NONE;
        double highest = -1;
        for (int i = 0; i < endpoints.size(); i++) {
            Endpoint endpoint = endpoints.get(i);
            double size = endpoint.size(byWeight);
            boolean withinBound =
                    endpoint.inFlight.count() < LOAD_BOUND * totalInFlight * size / totalSize;
            if (candidates.isOpen(i) && withinBound) {
                double score = size / -Math.log(HashMixer.uniform(key ^ endpoint.hash));
                home = score > highest ? i : home;
                highest = Math.max(highest, score);
            }
        }
        return home;
    }
}
