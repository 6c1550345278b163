package trailthread.engine.loop;

/**
 * What the loop's knowledge of its own lateness costs: a turn with one socket and four tasks, as
 * for one call alone, with and without the meter. Run by hand: {@code java -cp ...
 * trailthread.engine.loop.MeterCost}.
 */
public final class MeterCost {
    private static final int TURNS = 5_000_000;
    private static final int TASKS = 4;

    private MeterCost() {}

    /** Prints nanoseconds for each turn, a few times, as the first ones warm up. */
    public static void main(String[] args) {
        for (int round = 0; round < 5; round++) {
            LoopLatency turns = new LoopLatency(System.nanoTime());
            long began = System.nanoTime();
            for (int i = 0; i < TURNS; i++) {
                if (turns.serves(System.nanoTime())) {
                    turns.served(System.nanoTime());
                }
                for (int task = 0; task < TASKS; task++) {
                    turns.runs(System.nanoTime());
                    turns.ran(System.nanoTime());
                }
            }
            System.out.println(
                    (System.nanoTime() - began) / TURNS
                            + " ns a turn, lateness "
                            + turns.latenessNs(System.nanoTime())
                            + " ns");
        }
    }
}
