package trailthread.engine.worker;

import java.nio.ByteBuffer;

/** Where a long answer goes as it comes. */
public interface AnswerSink {
    /**
     * Takes a piece, all of it; to be read before this returns.
     *
     * @return whether there is room for another; else it is asked for when there is
     */
    boolean piece(ByteBuffer piece);

    /** The answer is whole. */
    void end();

    /** Nothing more comes, and the answer is not whole: who reads it must be able to tell. */
    void broken();
}
