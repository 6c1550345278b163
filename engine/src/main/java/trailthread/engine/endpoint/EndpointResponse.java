package trailthread.engine.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.StatusCodes;

/**
 * An endpoint's response.
 *
 * @param headers as received; null: only the body is forwarded to the client
 * @param body empty if the body is streamed
 */
public record EndpointResponse(int status, HeaderMap headers, byte[] body) {
    /** Returns a response of which only the body is forwarded to the client. */
    public static EndpointResponse of(byte[] body) {
        return new EndpointResponse(StatusCodes.OK, null, body);
    }
}
