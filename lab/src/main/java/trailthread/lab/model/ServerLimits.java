package trailthread.lab.model;

/**
 * What a server is able to do. Times in ns; work in ns on a standard core.
 *
 * @param speed of a core, against a standard one; above 0
 * @param cores shared equally by all requests in work (processor sharing: Kleinrock, "Queueing
 *     Systems" II, 4.4)
 * @param slots most requests in work at once, 1 or more
 * @param queueCapacity most that wait, first come first served; what comes past it is turned away
 * @param contention what each request held past the cores takes off its efficiency, as a share:
 *     with h held, it works at 1 / (1 + crowding (h - cores)) (the contention of the Universal
 *     Scalability Law: Gunther, "Guerrilla Capacity Planning", 2007)
 * @param jam when it slows and stays slow, or {@link Jam#NEVER}
 * @param cold how it starts, or {@link Cold#NEVER}
 * @param cancelStopsExecution a call that its node gives up stops at once also while it is in work;
 *     else only while it waits
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
     * A state that keeps itself up (metastable failures: Bronson et al., HotOS 2021): past so many
     * waiting requests for each core, for so long, it works {@code slowdownFactor} times slower,
     * until it holds no more than {@code idle} requests a core for a time.
     */
    public record Jam(
            double waitingPerCore,
            long afterNs,
            double slowdownFactor,
            double idlePerCore,
            long calmNs) {
        /** It never jams. */
        public static final Jam NEVER = new Jam(Double.POSITIVE_INFINITY, Long.MAX_VALUE, 1, 0, 0);
    }

    /**
     * After a start it does {@code share} of its work, rising evenly to all of it after {@code
     * warmNs}. If it is sent more work within {@code windowNs} than {@code multiple} times what it
     * can do in it now, it falls over.
     */
    public record Cold(double share, long warmNs, double overloadMultiple, long windowNs) {
        /** It starts warm. */
        public static final Cold NEVER = new Cold(1, 0, Double.POSITIVE_INFINITY, 1);
    }

    /** Throws IllegalArgumentException at figures that make no sense. */
    public ServerLimits {
        if (!(speed > 0) || cores < 1 || slots < 1 || queueCapacity < 0 || !(contention >= 0)) {
            throw new IllegalArgumentException(
                    "a worker needs speed, cores and slots, and no negative figures");
        }
        if (!(cold.share() > 0 && cold.share() <= 1) || cold.warmNs() < 0 || cold.windowNs() <= 0) {
            throw new IllegalArgumentException(
                    "a cold start needs a share in (0, 1] and times that are not negative");
        }
    }

    /** A server that neither jams nor starts cold. */
    public static ServerLimits plain(double speed, int cores, int slots, int queueCapacity) {
        return new ServerLimits(
                speed, cores, slots, queueCapacity, 0, Jam.NEVER, Cold.NEVER, false);
    }

    /** The same of another speed: so many times this one's. */
    public ServerLimits withSpeedFactor(double times) {
        return new ServerLimits(
                speed * times,
                cores,
                slots,
                queueCapacity,
                contention,
                jam,
                cold,
                cancelStopsExecution);
    }

    /** Work that it can do in a second when warm and not crowded, in ns on a standard core. */
    public double capacity() {
        return speed * Math.min(cores, slots) * 1e9;
    }
}
