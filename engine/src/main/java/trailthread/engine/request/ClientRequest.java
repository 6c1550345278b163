package trailthread.engine.request;

import trailthread.engine.endpoint.ForwardedHeaders;
import trailthread.engine.http.ByteSource;

/**
 * A client's request, decoded.
 *
 * @param id the client's X-Correlation-Id
 * @param account the tenant, or null
 * @param timeLeftNs how long the client waits, from when it sent the request
 * @param repeat whether the client says that this is a retry
 * @param workNs the expected work, ns; 0: not known
 * @param entity what the request concerns; 0: not given
 * @param target path and query as the client sent them
 * @param idempotencyKey or null
 * @param passing what else is forwarded to the endpoint, which may then answer with any status;
 *     null: nothing
 * @param source the body, if it is streamed; null: it is buffered in {@code body}
 */
public record ClientRequest(
        String id,
        String requestClass,
        String account,
        long timeLeftNs,
        boolean repeat,
        long workNs,
        long entity,
        String method,
        String target,
        String idempotencyKey,
        byte[] body,
        ForwardedHeaders passing,
        ByteSource source) {
    /** A request whose body is buffered, or is still to be received. */
    public ClientRequest(
            String id,
            String requestClass,
            String account,
            long timeLeftNs,
            boolean repeat,
            long workNs,
            long entity,
            String method,
            String target,
            String idempotencyKey,
            byte[] body,
            ForwardedHeaders passing) {
        this(
                id,
                requestClass,
                account,
                timeLeftNs,
                repeat,
                workNs,
                entity,
                method,
                target,
                idempotencyKey,
                body,
                passing,
                null);
    }

    /** The request with its body, which has been received completely. */
    public ClientRequest withBody(byte[] received) {
        return with(received, null);
    }

    /** The request with a body that is streamed while it is forwarded. */
    public ClientRequest withSource(ByteSource streamed) {
        return with(new byte[0], streamed);
    }

    private ClientRequest with(byte[] buffered, ByteSource streamed) {
        return new ClientRequest(
                id,
                requestClass,
                account,
                timeLeftNs,
                repeat,
                workNs,
                entity,
                method,
                target,
                idempotencyKey,
                buffered,
                passing,
                streamed);
    }
}
