package trailthread.engine.worker;

/**
 * What a worker is to be asked.
 *
 * @param id             the client's, passed on; null: this is a probe
 * @param target         path and query as the client sent them
 * @param idempotencyKey or null
 */
public record WorkerRequest(String id, String requestClass, String method, String target,
                            String idempotencyKey, byte[] body) {
    static final WorkerRequest PROBE =
            new WorkerRequest(null, null, "GET", "/status/load", null, new byte[0]);

    boolean isProbe() {
        return id == null;
    }
}
