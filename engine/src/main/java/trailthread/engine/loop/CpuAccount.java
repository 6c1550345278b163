package trailthread.engine.loop;

/** Accounts for the thread's time that is spent on one owner, such as a pool. */
public interface CpuAccount {
    /** Accounts for nothing, and does not read the clock. */
    CpuAccount NONE =
            new CpuAccount() {
                @Override
                public void addTimeNs(long ns) {
                    // not accounted for
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
        long begun = System.nanoTime();
        try {
            task.run();
        } finally {
            addTimeNs(System.nanoTime() - begun);
        }
    }
}
