package trailthread.daemon.acceptor;

/**
 * The memory that bodies of calls may take together, from their first byte to the call's end. Short ones find room
 * always: they are bounded by the connections there may be.
 */
final class BodyRoom {
    /** Bodies are told by their whole blocks. */
    static final int BLOCK_BYTES = 64 * 1024;

    private final long most;
    private long taken;

    BodyRoom(long most) {
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

    long taken() {
        return taken;
    }
}
