package trailthread.engine.endpoint;

import trailthread.api.LoadReport;
import trailthread.engine.http.ByteSink;

/** Hears what becomes of one attempt. */
public interface AttemptListener {
    /** Whether anybody still waits for it: asked right before its first byte is written. */
    default boolean isWanted() {
        return true;
    }

    /** The request's last byte has been written. */
    default void sent() {}

    /**
     * A long answer begins. It is passed on as it comes, and the attempt ends no sooner than the
     * answer does.
     *
     * @param head its status, and its headers if they are passed on; no body
     * @param length of the body, in bytes; -1: its end will tell
     * @param told the load that came with it, or null
     * @param more to be run, not from within a call to the sink, when there is room for more after
     *     there was none
     * @return where it goes, or null: nobody waits for it any more
     */
    default ByteSink begins(EndpointResponse head, long length, LoadReport told, Runnable more) {
        return null;
    }

    /** It is over; told once, never from within the call that began it. */
    void ended(AttemptResult ending);
}
