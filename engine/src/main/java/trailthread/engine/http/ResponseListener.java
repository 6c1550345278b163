package trailthread.engine.http;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/**
 * Receives the events of one request and its response. Each response ends with either {@link
 * #responseCompleted} or {@link #exchangeFailed}.
 */
public interface ResponseListener {
    /**
     * Returns whether the next part of the request may be written; called before each part. If not,
     * the connection is closed, and {@link #exchangeFailed} follows.
     */
    default boolean mayWriteRequest() {
        return true;
    }

    /** The request's last byte has been written. */
    default void requestSent() {}

    /** The final response's head has been received; interim responses (1xx) are not reported. */
    void headReceived(int status, HeaderMap headers);

    /** A piece of the body has been received; the buffer is valid only until this returns. */
    void bodyReceived(ByteBuffer piece);

    /** The response is complete. */
    void responseCompleted();

    /**
     * The response is malformed, the connection has ended, or the request may not be written any
     * more; the connection is closed.
     *
     * @param reason a predicate whose subject is the server, such as "breaks the connection"
     */
    void exchangeFailed(String reason);
}
