package trailthread.engine.loop;

/** Whom the thread works for: hears how long, where somebody wants to know. */
public interface CpuAccount {
    /** Nobody wants to know. */
    CpuAccount NONE =
            new CpuAccount() {
                @Override
                public void spent(long ns) {
                    // nobody wants to know
                }

                @Override
                public void charge(Runnable task) {
                    task.run();
                }
            };

    /** The thread has worked so long for it. */
    void spent(long ns);

    /** Runs a task for it. */
    default void charge(Runnable task) {
        long begun = System.nanoTime();
        try {
            task.run();
        } finally {
            spent(System.nanoTime() - begun);
        }
    }
}
