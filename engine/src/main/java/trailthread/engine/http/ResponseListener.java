package trailthread.engine.http;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/**
 * Hears one answer as it comes: its head, its body in pieces, and its end or that there will be
 * none.
 */
public interface ResponseListener {
    /**
     * Asked before each part of the request is written; a no ends the connection, and {@link
     * #broken} follows.
     */
    default boolean mayBeWritten() {
        return true;
    }

    /** The request's last byte has been written. */
    default void sent() {}

    /** The head has come whole; interim ones (1xx) are not told of. */
    void head(int status, HeaderMap headers);

    /** A piece of the body; to be read before this returns. */
    void body(ByteBuffer piece);

    /** The answer is whole. */
    void whole();

    /**
     * The answer is spoilt or the connection has ended; nothing further comes, and the connection
     * closes.
     */
    void broken(String how);
}
