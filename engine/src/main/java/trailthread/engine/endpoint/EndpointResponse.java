package trailthread.engine.endpoint;

import io.undertow.util.HeaderMap;

/**
 * What an endpoint made of a call.
 *
 * @param headers those of its answer, as they came; null where only the body is passed on
 */
public record EndpointResponse(int status, HeaderMap headers, byte[] body) {
    private static final int OK = 200;

    /** An answer of which only the body is passed on. */
    public static EndpointResponse of(byte[] body) {
        return new EndpointResponse(OK, null, body);
    }
}
