package trailthread;

import java.util.Arrays;

/**
 * Which endpoints of the subset are open to one request, and the predicted time of each, by the
 * endpoint's index in the subset. Reused for every request, so that a draw allocates nothing.
 */
final class Candidates {
    private static final double CLOSED = Double.MAX_VALUE;
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

    void open(int index, double endpointPredictedNs) {
        predictedNs[index] = endpointPredictedNs;
        bestNs = Math.min(bestNs, endpointPredictedNs);
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
