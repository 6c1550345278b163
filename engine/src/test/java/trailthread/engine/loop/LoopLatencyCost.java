package trailthread.engine.loop;

/**
 * Measures the cost of {@link LoopLatency} for an iteration with one socket and four tasks, as a
 * single request causes. Run by hand: {@code java -cp ... trailthread.engine.loop.LoopLatencyCost}.
 */
public final class LoopLatencyCost {
    private static final int ITERATIONS = 5_000_000;
    private static final int TASKS = 4;

    private LoopLatencyCost() {}

    /** Prints the nanoseconds per iteration of several rounds, of which the first warm up. */
    public static void main(String[] args) {
        for (int round = 0; round < 5; round++) {
            LoopLatency latency = new LoopLatency(System.nanoTime());
            long startedAt = System.nanoTime();
            for (int i = 0; i < ITERATIONS; i++) {
                if (latency.beforeServingSocket(System.nanoTime())) {
                    latency.afterServingSockets(System.nanoTime());
                }
                for (int task = 0; task < TASKS; task++) {
                    latency.beginTask(System.nanoTime());
                    latency.endTask(System.nanoTime());
                }
            }
            System.out.println(
                    (System.nanoTime() - startedAt) / ITERATIONS
                            + " ns per iteration, lateness "
                            + latency.latenessNs(System.nanoTime())
                            + " ns");
        }
    }
}
