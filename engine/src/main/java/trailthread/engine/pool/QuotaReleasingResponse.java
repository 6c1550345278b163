package trailthread.engine.pool;

import java.nio.ByteBuffer;
import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.http.ByteSink;
import trailthread.engine.request.ClientResponse;

/**
 * Answers one request, and returns what the request holds of its pool's quotas with the end of its
 * answer or the client's disconnection, whichever comes first. Run when the client disconnects.
 */
final class QuotaReleasingResponse implements ClientResponse, Runnable {
    private final ClientResponse response;
    private final PoolQuotas quotas;
    private final long bufferedBytes;
    private boolean countsAsOpen;
    private Runnable whenDisconnected;
    private boolean quotaReleased;

    /**
     * @param bufferedBytes what the request holds of the quota of body bytes
     */
    QuotaReleasingResponse(ClientResponse response, PoolQuotas quotas, long bufferedBytes) {
        this.response = response;
        this.quotas = quotas;
        this.bufferedBytes = bufferedBytes;
    }

    /** The request holds one of the quota of open requests. */
    void countAsOpen() {
        countsAsOpen = true;
    }

    void setWhenDisconnected(Runnable whenDisconnected) {
        this.whenDisconnected = whenDisconnected;
    }

    private void releaseQuota() {
        if (!quotaReleased) {
            quotaReleased = true;
            quotas.releaseBody(bufferedBytes);
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
            EndpointResponse head, long length, Runnable onWritable, Runnable onDisconnect) {
        return new QuotaReleasingSink(
                response.beginStreaming(head, length, onWritable, onDisconnect));
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

    /** The client has disconnected. */
    @Override
    public void run() {
        releaseQuota();
        whenDisconnected.run();
    }

    /** Streams the body, and returns the quota at its end. */
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
