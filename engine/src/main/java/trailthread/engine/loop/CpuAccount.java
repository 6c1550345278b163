package trailthread.engine.loop;

/** Adds up the time that the event loop's thread spends on one owner, such as a pool. */
public interface CpuAccount {
    /** Discards all times, and does not read the clock. */
    CpuAccount NONE =
            new CpuAccount() {
                @Override
                public void addTimeNs(long ns) {
                    // discarded
                }

                @Override
                public void runCharged(Runnable task) {
                    task.run();
                }
            };

    /** Charges time that the thread has spent on the owner, in nanoseconds. */
    void addTimeNs(long ns);

    /** Runs a task and charges its duration to the owner. */
    default void runCharged(Runnable task) {
        long startedAt = System.nanoTime();
        try {
            task.run();
        } finally {
            addTimeNs(System.nanoTime() - startedAt);
        }
    }
}
