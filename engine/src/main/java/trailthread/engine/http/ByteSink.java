package trailthread.engine.http;

import java.nio.ByteBuffer;

/** Receives the body of a message while it arrives. */
public interface ByteSink {
    /**
     * Takes a piece of the body, all of it, and copies what it does not use before it returns.
     *
     * @return whether there is capacity for another piece; if not, the sink says when there is
     */
    boolean writePiece(ByteBuffer piece);

    /** The body is complete. */
    void endBody();

    /** The body breaks off before its end; the recipient must be able to tell. */
    void abortBody();
}
