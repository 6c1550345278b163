package trailthread.engine.http;

import java.nio.ByteBuffer;

/** Where a long message's body goes as it comes. */
public interface ByteSink {
    /**
     * Takes a piece, all of it; to be read before this returns.
     *
     * @return whether there is room for another; else it is asked for when there is
     */
    boolean piece(ByteBuffer piece);

    /** It is whole. */
    void end();

    /** Nothing more comes, and it is not whole: who reads it must be able to tell. */
    void broken();
}
