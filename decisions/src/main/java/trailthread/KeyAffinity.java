package trailthread;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.WeightMeaning;

/**
 * Sends requests of one key to one endpoint, where that serves it for less work.
 *
 * <p>Weighted rendezvous hashing (Thaler and Ravishankar, 1998; Schindelhauer and Schomaker, 2005)
 * with bounded loads (Mirrokni et al., 2018): the endpoints form an order that is the key's own at
 * every node; one that is not open, or holds over its fair part of this node's requests, is passed
 * over for the next. Spilled at random, a key would meet every endpoint without its data and drive
 * other keys out; without the bound, popular keys make hot spots.
 */
final class KeyAffinity {
    /** An endpoint takes at most this multiple of its fair part of this node's requests. */
    private static final double LOAD_BOUND = 1.5;

    /** Requests after which the counts of keys are halved. */
    private static final double HALVING_COUNT = 1000;

    /** No endpoint is open to the key. */
    static final int NONE = -1;

    private final ActiveSettings settings;
    private final RandomSource random;

    /** How often each key came of late. */
    private final Map<Long, Double> countsByKey = new LinkedHashMap<>();

    /** How often all keys came of late, together. */
    private double totalCount;

    KeyAffinity(ActiveSettings settings, RandomSource random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * The key to use for a request: a popular key counts as several, each with its own endpoint.
     * Where hundreds of nodes send to a key's endpoint, no node can see from its own part that all
     * together are too many.
     *
     * @param endpoints how many this node sends to
     */
    long spreadKey(long key, int endpoints) {
        double count = countsByKey.merge(key, 1.0, Double::sum);
        totalCount++;
        if (totalCount > HALVING_COUNT) {
            halveCounts();
        }
        double certainShare = Math.max(0, count - Math.sqrt(count)) / totalCount;
        int parts = (int) Math.ceil(certainShare * endpoints / LOAD_BOUND);
        return parts <= 1 ? key : HashMixer.mix(key + random.below(parts));
    }

    private void halveCounts() {
        totalCount /= 2;
        countsByKey.replaceAll((key, count) -> count / 2);
        countsByKey.values().removeIf(count -> count < 1);
    }

    /**
     * The index of the endpoint for a key, or {@link #NONE}.
     *
     * @param candidates by the index of an endpoint: whether it is open
     */
    int findHome(long key, List<Endpoint> endpoints, Candidates candidates) {
        WeightMeaning meaning = settings.get().weights;
        boolean byWeight = meaning == WeightMeaning.NOMINAL || meaning == WeightMeaning.ROUGH;
        double inFlight = 1;
        double totalSize = 0;
        for (int i = 0; i < endpoints.size(); i++) {
            if (candidates.isOpen(i)) {
                inFlight += endpoints.get(i).inFlight.count();
                totalSize += endpoints.get(i).size(byWeight);
            }
        }
        int home = NONE;
        double highest = -1;
        for (int i = 0; i < endpoints.size(); i++) {
            Endpoint endpoint = endpoints.get(i);
            double size = endpoint.size(byWeight);
            boolean withinBound =
                    endpoint.inFlight.count() < LOAD_BOUND * inFlight * size / totalSize;
            if (candidates.isOpen(i) && withinBound) {
                double score = size / -Math.log(HashMixer.unit(key ^ endpoint.hash));
                home = score > highest ? i : home;
                highest = Math.max(highest, score);
            }
        }
        return home;
    }
}
