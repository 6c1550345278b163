package trailthread.engine.endpoint;

import java.util.List;
import trailthread.engine.http.ByteSource;
import trailthread.engine.http.RequestEncoder;
import trailthread.engine.loop.Seconds;

/**
 * A request to an endpoint.
 *
 * @param id the client's correlation id, which is forwarded; null: this is a health check
 * @param target path and query as the client sent them
 * @param idempotencyKey or null
 * @param body the buffered body; empty if there is none
 * @param forwardedHeaders the client's headers; null: the request is sent with the headers of the
 *     platform's protocol
 * @param bodySource the body to stream; null: the body is buffered
 * @param timeoutAfterBodyNs how long to wait for the response after the last byte of a streamed
 *     body has arrived, in nanoseconds
 */
public record EndpointRequest(
        String id,
        String requestClass,
        String method,
        String target,
        String idempotencyKey,
        byte[] body,
        ForwardedHeaders forwardedHeaders,
        ByteSource bodySource,
        long timeoutAfterBodyNs) {
    static final EndpointRequest HEALTH_CHECK =
            new EndpointRequest(null, null, "GET", "/status/load", null, new byte[0], null);

    private static final String CORRELATION_ID = "X-Correlation-Id";
    private static final String TIME_LEFT = "X-Time-Left";

    /** Creates a request whose body is buffered. */
    public EndpointRequest(
            String id,
            String requestClass,
            String method,
            String target,
            String idempotencyKey,
            byte[] body,
            ForwardedHeaders forwardedHeaders) {
        this(id, requestClass, method, target, idempotencyKey, body, forwardedHeaders, null, 0);
    }

    private static final byte[] NO_BODY = {};

    /** Returns the request without its buffered body, once that is not sent again. */
    public EndpointRequest withoutBody() {
        return new EndpointRequest(
                id,
                requestClass,
                method,
                target,
                idempotencyKey,
                NO_BODY,
                forwardedHeaders,
                bodySource,
                timeoutAfterBodyNs);
    }

    /** Returns whether the response has no body, whatever its Content-Length (RFC 9110, 9.3.2). */
    boolean isHeadRequest() {
        return method.equals("HEAD");
    }

    boolean isHealthCheck() {
        return id == null;
    }

    /** Returns the body to send; null: the request has no body. */
    byte[] bodyToSend() {
        if (forwardedHeaders == null) {
            return method.equals("GET") ? null : body;
        }
        return body.length == 0 && !definesBody() ? null : body;
    }

    /**
     * Returns whether the method defines a meaning for a body; a Content-Length is sent then even
     * if the body is empty (RFC 9110, 8.6).
     */
    private boolean definesBody() {
        return switch (method) {
            case "GET", "HEAD", "DELETE", "OPTIONS" -> false;
            default -> true;
        };
    }

    /**
     * Returns an encoder that holds the request's headers, except those that describe its body.
     *
     * @param hostPort the endpoint's address
     * @param timeLeftNs how long the endpoint has to respond, in nanoseconds
     */
    RequestEncoder encoder(String hostPort, long timeLeftNs) {
        if (forwardedHeaders != null) {
            return forwardingEncoder(hostPort, timeLeftNs);
        }
        RequestEncoder encoder = new RequestEncoder(method, target, hostPort);
        if (!isHealthCheck()) {
            encoder.header(CORRELATION_ID, id)
                    .header("X-Service-Class", requestClass)
                    .header(TIME_LEFT, Seconds.format(timeLeftNs))
                    .header("Idempotency-Key", idempotencyKey);
        }
        return encoder;
    }

    private RequestEncoder forwardingEncoder(String hostPort, long timeLeftNs) {
        String host = forwardedHeaders.host().isEmpty() ? hostPort : forwardedHeaders.host();
        RequestEncoder encoder = new RequestEncoder(method, target, host);
        List<String> headers = forwardedHeaders.headers();
        for (int i = 0; i < headers.size(); i += 2) {
            encoder.header(headers.get(i), headers.get(i + 1));
        }
        return encoder.header("Via", "1.1 trailthread")
                .header(CORRELATION_ID, id)
                .header(TIME_LEFT, Seconds.format(timeLeftNs));
    }
}
