package trailthread.engine.endpoint;

import trailthread.engine.http.ByteSource;

/**
 * What an endpoint is to be asked.
 *
 * @param id the client's, passed on; null: this is a probe
 * @param target path and query as the client sent them
 * @param idempotencyKey or null
 * @param passing what else is passed on; null: this is the platform's call
 * @param source where the body comes from, if it is not held; else null
 * @param afterBodyNs how long the answer is waited for after such a body's last byte
 */
public record EndpointRequest(
        String id,
        String requestClass,
        String method,
        String target,
        String idempotencyKey,
        byte[] body,
        ForwardedHeaders passing,
        ByteSource source,
        long afterBodyNs) {
    static final EndpointRequest PROBE =
            new EndpointRequest(null, null, "GET", "/status/load", null, new byte[0], null);

    /** A request whose body is held. */
    public EndpointRequest(
            String id,
            String requestClass,
            String method,
            String target,
            String idempotencyKey,
            byte[] body,
            ForwardedHeaders passing) {
        this(id, requestClass, method, target, idempotencyKey, body, passing, null, 0);
    }

    /** Whether an answer brings no body, whatever length it tells (RFC 9110, 9.3.2). */
    boolean isHead() {
        return method.equals("HEAD");
    }

    /** The body to send, or null: the request has none. */
    byte[] sent() {
        if (passing == null) {
            return method.equals("GET") ? null : body;
        }
        // RFC 9110, 8.6: a method that has a meaning for a body tells its length, even if there is
        // none.
        boolean bare =
                method.equals("GET")
                        || method.equals("HEAD")
                        || method.equals("DELETE")
                        || method.equals("OPTIONS");
        return bare && body.length == 0 ? null : body;
    }

    boolean isProbe() {
        return id == null;
    }
}
