package trailthread.daemon.listener;

/**
 * The memory that long bodies of calls may take together, from their first byte to the call's end.
 * Short ones are bounded by the connections there may be.
 */
final class BodyMemoryLimit {
    /** What is longer than this takes room. */
    static final int SHORT_BYTES = 64 * 1024;

    private final long most;
    private long taken;

    BodyMemoryLimit(long most) {
        this.most = most;
    }

    /** Whether there is room for so many bytes more; they are to be given back once. */
    boolean take(long bytes) {
        if (taken + bytes > most) {
            return false;
        }
        taken += bytes;
        return true;
    }

    void give(long bytes) {
        taken -= bytes;
    }
}
