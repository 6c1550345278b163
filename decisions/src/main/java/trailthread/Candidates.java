package trailthread;

import java.util.Arrays;

/**
 * Which endpoints of the subset are open to one request, and the predicted time of each, by the
 * endpoint's index in the subset. Reused for every request, so that a draw allocates nothing.
 */
final class Candidates {
    private static final double CLOSED = Double.MAX_VALUE;

    /** The longest time that can be predicted for an open endpoint. */
    private static final double MAX_OPEN_NS = Double.MAX_VALUE / 4;

    private static final int INITIAL_SIZE = 16;

    private double[] predictedNs = new double[INITIAL_SIZE];
    private double bestNs;

    /** Prepares for another request, for which no endpoint is open yet. */
    void reset(int endpoints) {
        if (predictedNs.length < endpoints) {
            predictedNs = new double[Math.max(endpoints, 2 * predictedNs.length)];
        }
        Arrays.fill(predictedNs, 0, endpoints, CLOSED);
        bestNs = CLOSED;
    }

    /**
     * Marks an endpoint as open.
     *
     * @param endpointPredictedNs the predicted time; one that is not a number counts as the longest
     */
    void open(int index, double endpointPredictedNs) {
        boolean isUsable = endpointPredictedNs <= MAX_OPEN_NS;
        predictedNs[index] = isUsable ? endpointPredictedNs : MAX_OPEN_NS;
        bestNs = Math.min(bestNs, predictedNs[index]);
    }

    boolean isOpen(int index) {
        return predictedNs[index] < CLOSED;
    }

    boolean isNoneOpen() {
        return bestNs == CLOSED;
    }

    double predictedNs(int index) {
        return predictedNs[index];
    }

    /** The smallest predicted time of any open endpoint. */
    double bestNs() {
        return bestNs;
    }
}
