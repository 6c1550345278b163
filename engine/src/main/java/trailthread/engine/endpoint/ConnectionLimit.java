package trailthread.engine.endpoint;

/**
 * How many connections to endpoints there may be. Each {@link #take} that is granted is followed by
 * one give.
 */
public interface ConnectionLimit {
    /** Whether another one may be opened. */
    boolean take();

    /** One is closed, or never came up. */
    void give();

    /** Whether one that has become idle may be kept: others may need it more. */
    boolean keepsIdle();

    /** Room for so many. */
    static ConnectionLimit of(int most) {
        return new ConnectionLimit() {
            private int open;

            @Override
            public boolean take() {
                boolean taken = open < most;
                open += taken ? 1 : 0;
                return taken;
            }

            @Override
            public void give() {
                open--;
            }

            @Override
            public boolean keepsIdle() {
                return true;
            }
        };
    }
}
