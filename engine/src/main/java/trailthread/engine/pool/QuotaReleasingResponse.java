package trailthread.engine.pool;

import java.nio.ByteBuffer;
import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.http.ByteSink;
import trailthread.engine.request.ClientResponse;

/**
 * The response to one request, which releases what the request holds of its pool's quotas when the
 * response ends or the client disconnects, whichever comes first. {@link #run} handles the
 * disconnection.
 */
final class QuotaReleasingResponse implements ClientResponse, Runnable {
    private final ClientResponse response;
    private final PoolQuotas quotas;
    private final long bufferedBytes;
    private boolean countsAsOpen;
    private Runnable disconnectHandler;
    private boolean quotaReleased;

    /**
     * @param bufferedBytes what the request holds of the quota of body bytes
     */
    QuotaReleasingResponse(ClientResponse response, PoolQuotas quotas, long bufferedBytes) {
        this.response = response;
        this.quotas = quotas;
        this.bufferedBytes = bufferedBytes;
    }

    /** Records that the request holds one unit of the quota of open requests. */
    void countAsOpen() {
        countsAsOpen = true;
    }

    void setDisconnectHandler(Runnable disconnectHandler) {
        this.disconnectHandler = disconnectHandler;
    }

    private void releaseQuota() {
        if (!quotaReleased) {
            quotaReleased = true;
            quotas.releaseBodyBytes(bufferedBytes);
            if (countsAsOpen) {
                quotas.requests.release(1);
            }
        }
    }

    @Override
    public void respond(EndpointResponse endpointResponse) {
        releaseQuota();
        response.respond(endpointResponse);
    }

    @Override
    public ByteSink beginStreaming(
            EndpointResponse head, long length, Runnable onCapacity, Runnable onDisconnect) {
        return new QuotaReleasingSink(
                response.beginStreaming(head, length, onCapacity, onDisconnect));
    }

    @Override
    public boolean tryReserveMemory(long bytes) {
        return response.tryReserveMemory(bytes);
    }

    @Override
    public void releaseMemory(long bytes) {
        response.releaseMemory(bytes);
    }

    @Override
    public void onBodyReleased() {
        response.onBodyReleased();
    }

    @Override
    public void reject(long retryAfterNs) {
        releaseQuota();
        response.reject(retryAfterNs);
    }

    @Override
    public void fail() {
        releaseQuota();
        response.fail();
    }

    @Override
    public void onReleased() {
        response.onReleased();
    }

    /** Handles the disconnection of the client. */
    @Override
    public void run() {
        releaseQuota();
        disconnectHandler.run();
    }

    /** Streams the body, and releases the quotas at its end. */
    private final class QuotaReleasingSink implements ByteSink {
        private final ByteSink sink;

        QuotaReleasingSink(ByteSink sink) {
            this.sink = sink;
        }

        @Override
        public boolean writePiece(ByteBuffer piece) {
            return sink.writePiece(piece);
        }

        @Override
        public void endBody() {
            releaseQuota();
            sink.endBody();
        }

        @Override
        public void abortBody() {
            releaseQuota();
            sink.abortBody();
        }
    }
}
