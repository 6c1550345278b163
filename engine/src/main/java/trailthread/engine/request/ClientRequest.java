package trailthread.engine.request;

import trailthread.engine.endpoint.ForwardedHeaders;
import trailthread.engine.http.ByteSource;

/**
 * A decoded request of a client.
 *
 * @param id the client's X-Correlation-Id
 * @param tenant the tenant whose quota the request counts against, or null
 * @param timeLeftNs how long the client waits, from when it sent the request
 * @param isRetry whether the client marked the request as a retry
 * @param workNs the expected work, ns; 0: not known
 * @param affinityKey identifies what the request concerns; the balancer prefers the same endpoints
 *     for requests with the same key; 0: none
 * @param target path and query as the client sent them
 * @param idempotencyKey the client's Idempotency-Key, or null
 * @param forwardedHeaders the client's headers to forward to the endpoint, which may then answer
 *     with any status; null: no headers are forwarded
 * @param bodySource the body, if it is streamed; null: it is buffered in {@code body}
 */
public record ClientRequest(
        String id,
        String requestClass,
        String tenant,
        long timeLeftNs,
        boolean isRetry,
        long workNs,
        long affinityKey,
        String method,
        String target,
        String idempotencyKey,
        byte[] body,
        ForwardedHeaders forwardedHeaders,
        ByteSource bodySource) {
    /** Creates a request whose body is buffered, or is still to be received. */
    public ClientRequest(
            String id,
            String requestClass,
            String tenant,
            long timeLeftNs,
            boolean isRetry,
            long workNs,
            long affinityKey,
            String method,
            String target,
            String idempotencyKey,
            byte[] body,
            ForwardedHeaders forwardedHeaders) {
        this(
                id,
                requestClass,
                tenant,
                timeLeftNs,
                isRetry,
                workNs,
                affinityKey,
                method,
                target,
                idempotencyKey,
                body,
                forwardedHeaders,
                null);
    }

    /** Returns the request with its body, which has been received completely. */
    public ClientRequest withBody(byte[] received) {
        return with(received, null);
    }

    /** Returns the request with a body that is streamed while it is forwarded. */
    public ClientRequest withBodySource(ByteSource streamed) {
        return with(new byte[0], streamed);
    }

    private ClientRequest with(byte[] buffered, ByteSource streamed) {
        return new ClientRequest(
                id,
                requestClass,
                tenant,
                timeLeftNs,
                isRetry,
                workNs,
                affinityKey,
                method,
                target,
                idempotencyKey,
                buffered,
                forwardedHeaders,
                streamed);
    }
}
