package trailthread.engine.request;

import trailthread.engine.endpoint.ForwardedHeaders;
import trailthread.engine.http.ByteSource;

/**
 * A client's call, decoded.
 *
 * @param id the client's X-Correlation-Id
 * @param account the tenant, or null
 * @param timeLeftNs how long the client waits, from when it sent the call
 * @param repeat the client says that it asked before
 * @param workNs the work to expect; 0: not known
 * @param entity what the call concerns; 0: not told
 * @param target path and query as they came
 * @param idempotencyKey or null
 * @param passing what else goes to the endpoint, which may then answer with any status; null:
 *     nothing
 * @param source where the body comes from, if it is not held; else null
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
    /** A call whose body is held, or as yet to come. */
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

    /** The call with its body, which has come. */
    public ClientRequest withBody(byte[] whole) {
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
                whole,
                passing);
    }

    /** The call with a body that comes as it is sent on. */
    public ClientRequest withSource(ByteSource comes) {
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
                new byte[0],
                passing,
                comes);
    }
}
