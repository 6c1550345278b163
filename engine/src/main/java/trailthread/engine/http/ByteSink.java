package trailthread.engine.http;

import java.nio.ByteBuffer;

/** Receives the body of a message while it arrives. */
public interface ByteSink {
    /**
     * Writes a piece of the body. Takes all its bytes; those that the sink keeps are copied before
     * this returns.
     *
     * @return whether there is capacity for another piece; if not, the sink tells its source when
     *     there is again
     */
    boolean writePiece(ByteBuffer piece);

    /** Sends the head on, if this sink writes one, before the first piece of the body is there. */
    default void flushHead() {}

    /** Ends the body, which is complete. */
    void endBody();

    /** Ends the body before it is complete; its recipient must be able to tell. */
    void abortBody();
}
