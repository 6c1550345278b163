package trailthread.engine.loop;

/** Accounts for the thread's time that is spent on one owner, such as a pool. */
public interface CpuAccount {
    /** Accounts for nothing, and does not read the clock. */
    CpuAccount NONE =
            new CpuAccount() {
                @Override
                public void spent(long ns) {
                    // not accounted for
                }

                @Override
                public void charge(Runnable task) {
                    task.run();
                }
            };

    /** Adds time that the thread has spent on the owner, ns. */
    void spent(long ns);

    /** Runs a task on the owner's account. */
    default void charge(Runnable task) {
        long begun = System.nanoTime();
        try {
            task.run();
        } finally {
            spent(System.nanoTime() - begun);
        }
    }
}
