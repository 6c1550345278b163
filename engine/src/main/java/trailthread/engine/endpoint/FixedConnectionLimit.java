package trailthread.engine.endpoint;

/** A fixed maximum number of connections. */
final class FixedConnectionLimit implements ConnectionLimit {
    private final int max;
    private int open;

    FixedConnectionLimit(int max) {
        this.max = max;
    }

    @Override
    public boolean tryAcquire() {
        if (open >= max) {
            return false;
        }
        open++;
        return true;
    }

    @Override
    public void release() {
        open--;
    }

    @Override
    public boolean mayKeepIdle() {
        return true;
    }
}
