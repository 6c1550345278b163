package trailthread.engine.endpoint;

import trailthread.api.LoadReport;
import trailthread.engine.http.ByteSink;

/** Receives the events of one attempt, on the event loop's thread. */
public interface AttemptListener {
    /** Returns whether the response is still wanted; called right before the first write. */
    default boolean isResponseWanted() {
        return true;
    }

    /** The request's last byte has been written. */
    default void requestSent() {}

    /**
     * A response has begun that may outlast the attempt's timeout.
     *
     * @param heldUntil when the attempt ends unless the response goes on, by the loop's clock
     */
    default void responseBegan(long heldUntil) {}

    /**
     * Reserves memory to buffer the response in.
     *
     * @return false if there is none left: the response must be streamed
     */
    default boolean tryReserveMemory(long bytes) {
        return true;
    }

    /** Releases a part of the reserved memory. */
    default void releaseMemory(long bytes) {}

    /**
     * A long response has started. It is streamed, and the attempt lasts until the response ends.
     *
     * @param head the status, and the headers if they are forwarded; no body
     * @param length the length of the body in bytes; -1: not known
     * @param load the load report in the response's head, or null
     * @param onCapacity to be run when the sink has capacity again after it had none; not from
     *     within a call to the sink
     * @return receives the body; null: the response is no longer wanted
     */
    default ByteSink streamingStarted(
            EndpointResponse head, long length, LoadReport load, Runnable onCapacity) {
        return null;
    }

    /** The attempt has ended. Called once, never from within the call that started the attempt. */
    void attemptEnded(AttemptResult result);
}
