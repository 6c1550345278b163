package trailthread.engine.loop;

/**
 * Measures the cost of {@link LoopLatency}: an iteration with one socket and four tasks, as for a
 * single request. Run by hand: {@code java -cp ... trailthread.engine.loop.MeterCost}.
 */
public final class MeterCost {
    private static final int ITERATIONS = 5_000_000;
    private static final int TASKS = 4;

    private MeterCost() {}

    /** Prints nanoseconds an iteration, several times, as the first runs warm up. */
    public static void main(String[] args) {
        for (int round = 0; round < 5; round++) {
            LoopLatency latency = new LoopLatency(System.nanoTime());
            long began = System.nanoTime();
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
                    (System.nanoTime() - began) / ITERATIONS
                            + " ns an iteration, lateness "
                            + latency.latenessNs(System.nanoTime())
                            + " ns");
        }
    }
}
