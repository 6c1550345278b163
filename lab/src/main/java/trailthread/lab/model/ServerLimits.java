package trailthread.lab.model;

/**
 * The capacity of a server and how it degrades. Times in ns; work in ns on a standard core.
 *
 * @param speed of a core, relative to a standard one; above 0
 * @param cores shared equally by all executing requests (processor sharing: Kleinrock, "Queueing
 *     Systems" II, 4.4)
 * @param slots the most requests that execute at once, 1 or more
 * @param queueCapacity the most requests that wait, first come first served; more are rejected
 * @param contention the share of efficiency lost for each request in flight beyond the cores: with
 *     n requests, the server works at 1 / (1 + contention (n - cores)) (the contention of the
 *     Universal Scalability Law: Gunther, "Guerrilla Capacity Planning", 2007)
 * @param jam when the server becomes slow and stays so, or {@link Jam#NEVER}
 * @param cold how it performs after a start, or {@link Cold#NEVER}
 * @param cancelStopsExecution whether a request that its node cancels stops while it executes; else
 *     cancelling only removes it from the queue
 */
public record ServerLimits(
        double speed,
        int cores,
        int slots,
        int queueCapacity,
        double contention,
        Jam jam,
        Cold cold,
        boolean cancelStopsExecution) {
    /**
     * A metastable failure (Bronson et al., HotOS 2021): once the queue has been longer than {@code
     * waitingPerCore} requests per core for {@code afterNs}, the server works {@code
     * slowdownFactor} times slower, until it has held no more than {@code idlePerCore} requests per
     * core for {@code idleNs}.
     */
    public record Jam(
            double waitingPerCore,
            long afterNs,
            double slowdownFactor,
            double idlePerCore,
            long idleNs) {
        /** A server that never jams. */
        public static final Jam NEVER = new Jam(Double.POSITIVE_INFINITY, Long.MAX_VALUE, 1, 0, 0);
    }

    /**
     * After a start the server has {@code share} of its capacity, which rises linearly to all of it
     * at {@code warmNs}. It crashes if it receives, within {@code windowNs}, more than {@code
     * overloadMultiple} times the work that it could do in that time at its present capacity.
     */
    public record Cold(double share, long warmNs, double overloadMultiple, long windowNs) {
        /** A server that has its full capacity from the start. */
        public static final Cold NEVER = new Cold(1, 0, Double.POSITIVE_INFINITY, 1);
    }

    public ServerLimits {
        if (!(speed > 0) || cores < 1 || slots < 1 || queueCapacity < 0 || !(contention >= 0)) {
            throw new IllegalArgumentException(
                    "a server needs a speed above 0, cores and slots, and no negative values");
        }
        if (!(cold.share() > 0 && cold.share() <= 1) || cold.warmNs() < 0 || cold.windowNs() <= 0) {
            throw new IllegalArgumentException(
                    "a cold start needs a share in (0, 1], no negative warm-up time and a window above 0");
        }
    }

    /** A server without contention that neither jams nor starts cold. */
    public static ServerLimits plain(double speed, int cores, int slots, int queueCapacity) {
        return new ServerLimits(
                speed, cores, slots, queueCapacity, 0, Jam.NEVER, Cold.NEVER, false);
    }

    /** A copy whose cores are this many times as fast. */
    public ServerLimits withSpeedFactor(double factor) {
        return new ServerLimits(
                speed * factor,
                cores,
                slots,
                queueCapacity,
                contention,
                jam,
                cold,
                cancelStopsExecution);
    }

    /**
     * The work that a warm server does in one second without contention, in ns on a standard core.
     */
    public double capacity() {
        return speed * Math.min(cores, slots) * 1e9;
    }
}
