package trailthread.engine.endpoint;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.XnioExecutor;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.engine.http.HttpConnection;
import trailthread.engine.http.RequestEncoder;
import trailthread.engine.http.ResponseListener;
import trailthread.engine.loop.EventLoop;

/**
 * The HTTP exchange of one attempt to have an endpoint serve a request: gets a connection, sends
 * the request, and limits the time of each step. An {@link AttemptResponse} holds the response.
 *
 * <p>An attempt has ended, and its connection is closed or returned to the pool, before its
 * listener is notified. Prevents a retry from running while the attempt before it holds a
 * connection.
 */
public final class AttemptExchange implements ResponseListener {
    /** A response whose body is longer counts as malformed. */
    private static final long MAX_BODY_BYTES = 32 * 1024 * 1024;

    /**
     * A longer request body is written from its own array, instead of being copied after the head
     * to be sent in the same packet.
     */
    private static final int MAX_COPIED_BODY_BYTES = 8 * 1024;

    private final EventLoop loop;
    private final ConnectionPool connections;
    private final EndpointLog log;

    /** Null: the endpoint is not in the list. */
    private final PooledEndpoint endpoint;

    private EndpointRequest request;
    private final AttemptListener listener;
    private final long startedAt;

    /** When the attempt times out at the latest; see {@link #dueAt}. */
    private final long timeoutAt;

    /** No byte of the request may be written then or later. */
    private final long writeDeadline;

    /** When the client's time is over; see {@link #responseDeadline}. */
    private final long requestDeadline;

    private XnioExecutor.Key timeoutTimer;

    /** The connect that was begun for the attempt, or null. */
    private AttemptConnect connect;

    private HttpConnection connection;

    /** When the request's last byte was written; until then, when sending started. */
    private long sentAt;

    private boolean ended;

    /** Whether the end of the connection proves the response. */
    private boolean singleUse;

    /** How long the connection was idle before, or {@link EndpointLog#NEVER_IDLE}. */
    private long connectionIdleNs = EndpointLog.NEVER_IDLE;

    /** Why the exchange failed, with the endpoint as the subject; null: the outcome says it. */
    private String failureReason;

    /** Null until the response's head has been received. */
    private AttemptResponse response;

    AttemptExchange(
            EventLoop loop,
            ConnectionPool connections,
            EndpointLog log,
            PooledEndpoint endpoint,
            EndpointRequest request,
            long timeoutNs,
            long writeDeadline,
            long requestDeadline,
            AttemptListener listener) {
        this.loop = loop;
        this.connections = connections;
        this.log = log;
        this.endpoint = endpoint;
        this.request = request;
        this.listener = listener;
        startedAt = loop.now();
        timeoutAt = startedAt + timeoutNs;
        this.writeDeadline = writeDeadline;
        this.requestDeadline = requestDeadline;
    }

    void start() {
        if (ended) {
            return;
        }
        if (endpoint == null) {
            endAttempt(Outcome.CONNECT_FAILED);
            return;
        }
        scheduleTimeout();
        HttpConnection idle = connections.takeIdle(endpoint);
        if (idle != null) {
            connectionIdleNs = loop.now() - idle.idleSince();
            sendOn(idle);
            return;
        }
        if (!connections.tryReserve()) {
            failureReason = "gets no connection, as this node has none left";
            endAttempt(Outcome.NOT_SENT);
            return;
        }
        connect = new AttemptConnect(loop, connections, endpoint, new ConnectListener());
    }

    private final class ConnectListener implements AttemptConnect.Listener {
        @Override
        public void connected(HttpConnection opened) {
            sendOn(opened);
        }

        @Override
        public void connectFailed(String reason) {
            failureReason = reason;
            endAttempt(Outcome.CONNECT_FAILED);
        }
    }

    private void scheduleTimeout() {
        cancelTimeout();
        timeoutTimer = loop.schedule(dueAt() - loop.now(), this::handleTimeout);
    }

    /**
     * Returns when the attempt times out, as far as it is known now. The client's time counts from
     * the last byte of its body, so while a body is streamed, this moves on until that byte may
     * have arrived; an endpoint that does not take the body gains no time by that.
     */
    private long dueAt() {
        if (request.bodySource() == null) {
            return timeoutAt;
        }
        long dueAfterBody = request.bodySource().lastByteNotBefore() + request.timeoutAfterBodyNs();
        return isRequestSent() ? dueAfterBody : Math.min(timeoutAt, dueAfterBody);
    }

    private void sendOn(HttpConnection target) {
        boolean maySend = connections.maySend(endpoint, request.isHealthCheck());
        long now = loop.now();
        if (!maySend || now >= dueAt() || !mayWriteRequest() || !listener.isResponseWanted()) {
            // Checked right before the write, as these may have happened since the balancer decided
            // on the attempt: the endpoint drains, the deduplication window has passed, or the
            // client has disconnected.
            connections.release(endpoint, target);
            endAttempt(Outcome.NOT_SENT);
            return;
        }
        connection = target;
        sentAt = now;
        RequestEncoder head = request.encoder(endpoint.hostPort, dueAt() - now);
        singleUse = connections.isSingleUse(endpoint);
        if (singleUse) {
            head.header("Connection", "close");
            target.requireEnd();
        }
        if (request.bodySource() != null) {
            target.send(
                    head.encodeHead(request.bodySource().length()),
                    request.bodySource(),
                    MAX_BODY_BYTES,
                    this);
        } else {
            sendWithBufferedBody(target, head);
        }
    }

    private void sendWithBufferedBody(HttpConnection target, RequestEncoder head) {
        byte[] body = request.bodyToSend();
        boolean isLong = body != null && body.length > MAX_COPIED_BODY_BYTES;
        target.send(
                isLong ? head.encodeHead(body.length) : head.encode(body),
                isLong ? ByteBuffer.wrap(body) : null,
                MAX_BODY_BYTES,
                request.isHeadRequest(),
                this);
    }

    @Override
    public boolean mayWriteRequest() {
        return loop.now() < writeDeadline;
    }

    /** Ends the attempt, unless its response has arrived, or may take longer. */
    private void handleTimeout() {
        if (connection != null) {
            connection.readArrived();
        }
        if (ended) {
            return;
        }
        if (request.bodySource() != null && loop.now() < dueAt()) {
            scheduleTimeout();
            return;
        }
        if (response == null || !response.mayOutlastTimeout()) {
            endAttempt(isRequestSent() ? Outcome.TIMEOUT : outcomeIfNotSentInTime());
            return;
        }
        long continuesUntil = response.continueAfterTimeout();
        if (ended || continuesUntil == ResponseProgress.NEVER) {
            return;
        }
        if (continuesUntil > loop.now()) {
            timeoutTimer = loop.schedule(continuesUntil - loop.now(), this::handleTimeout);
        } else {
            endUnfinishedResponse();
        }
    }

    /** Ends a response of unknown length; an endpoint that kept sending it is not at fault. */
    private void endUnfinishedResponse() {
        failureReason = "has not completed its response in time";
        endAttempt(response.hasPace() ? Outcome.CANCELLED : Outcome.TIMEOUT);
    }

    /**
     * Returns when the first bytes of a long response are due, and all of a short one. The client's
     * time counts from the last byte of a streamed body.
     */
    long responseDeadline() {
        return request.bodySource() == null ? requestDeadline : dueAt();
    }

    /**
     * Returns until when a response that has begun may still be held; 0 if none has, or if it does
     * not outlast the attempt's timeout.
     */
    public long responseHeldUntil() {
        boolean mayOutlast = response != null && response.mayOutlastTimeout();
        return mayOutlast ? responseDeadline() + ResponseProgress.GRACE_NS : 0;
    }

    /** Returns whether the request's last byte was written, so that the endpoint may serve it. */
    public boolean isRequestSent() {
        return connection != null && connection.isRequestSent();
    }

    /**
     * Returns the outcome of a request that was not written completely. The endpoint is not at
     * fault if the deadline for writing has passed.
     */
    private Outcome outcomeIfNotSent() {
        return mayWriteRequest() ? Outcome.CONNECT_FAILED : Outcome.NOT_SENT;
    }

    /** An endpoint that takes a streamed body as fast as it comes is not at fault either. */
    private Outcome outcomeIfNotSentInTime() {
        if (connection != null && connection.isTakingStreamedBody()) {
            failureReason = "had taken what had come of the body";
            return Outcome.NOT_SENT;
        }
        return outcomeIfNotSent();
    }

    @Override
    public void requestSent() {
        sentAt = loop.now(); // the time to send a long body is not part of the endpoint's latency
        if (request.bodySource() != null && !isStreaming() && !ended) {
            scheduleTimeout();
        }
        listener.requestSent();
    }

    @Override
    public void headReceived(int status, HeaderMap headers) {
        response =
                new AttemptResponse(
                        loop,
                        this,
                        listener,
                        status,
                        headers,
                        request.forwardedHeaders() != null,
                        requestNs());
        if (response.mayOutlastTimeout()) {
            listener.responseBegan(responseHeldUntil());
        }
    }

    /** Returns the time that the client gave its request, or else that of the attempt. */
    private long requestNs() {
        long ofClientNs = request.timeoutAfterBodyNs();
        return ofClientNs > 0 ? ofClientNs : timeoutAt - startedAt;
    }

    @Override
    public void bodyReceived(ByteBuffer piece) {
        if (!ended) {
            response.addPiece(piece);
        }
    }

    @Override
    public void responseCompleted() {
        Outcome outcome = provenOutcome();
        if (outcome != response.outcome()) {
            // the response may be another request's, and so may its latency and load report
            endAttempt(outcome, elapsedNs(), null);
            return;
        }
        if (outcome == Outcome.OK) {
            connections.release(endpoint, connection);
            connection = null;
        }
        // any other connection is closed: nothing of this attempt may be out beside a retry
        endAttempt(outcome, responseLatencyNs(), response.load());
    }

    /**
     * Returns the outcome as far as the response proves it. A success before the request's last
     * byte cannot be of this request, unless the endpoint serves plain HTTP. A rejection by an
     * endpoint that has sent surplus responses may be one of these.
     */
    private Outcome provenOutcome() {
        Outcome outcome = response.outcome();
        if (outcome == Outcome.OK && !isRequestSent() && request.forwardedHeaders() == null) {
            failureReason = "responds before the request's last byte";
            return outcomeIfNotSent();
        }
        if (outcome == Outcome.REJECTED && !singleUse && connections.isSingleUse(endpoint)) {
            failureReason = "sends surplus responses, of which its rejection may be one";
            return Outcome.ERROR;
        }
        return outcome;
    }

    /**
     * Returns the latency of a complete response, in nanoseconds, or {@link
     * LatencySampler#UNKNOWN}.
     *
     * <p>The latency does not include the time to open the connection. Otherwise an endpoint that
     * gets few requests, so that its idle connections are closed, would look slow because each
     * request opens a connection, and would get even fewer, also when the other endpoints are full.
     */
    private long responseLatencyNs() {
        if (isStreaming()) {
            return LatencySampler.UNKNOWN;
        }
        long atLeastNs = loop.arrivedNotBefore() - sentAt;
        long atMostNs = loop.arrivedBy() - sentAt;
        if (request.isHealthCheck()) {
            return atMostNs; // a health check is no sample of the usual latency of requests
        }
        return endpoint.latency.sample(atLeastNs, atMostNs);
    }

    @Override
    public void exchangeFailed(String reason) {
        failureReason = reason;
        Outcome outcome = isRequestSent() ? Outcome.RESET : outcomeIfNotSent();
        // a load report in the head of a broken response is not trusted either
        endAttempt(outcome, elapsedNs(), null);
    }

    /** Ends the attempt; if the request was not written completely yet, it never is. */
    public void cancel() {
        endAttempt(isRequestSent() ? Outcome.CANCELLED : Outcome.NOT_SENT);
    }

    boolean hasEnded() {
        return ended;
    }

    /** Drops the request's body, which is not sent again. */
    void streamingStarted() {
        if (isRequestSent()) {
            request = request.withoutBody();
        }
    }

    /** Stops reading the response until {@link #resumeReading}. */
    void pauseReading() {
        if (connection != null) {
            connection.pause();
        }
    }

    void resumeReading() {
        if (connection != null) {
            connection.resume();
        }
    }

    private boolean isStreaming() {
        return response != null && response.isStreaming();
    }

    private void cancelTimeout() {
        timeoutTimer = cancelTimer(timeoutTimer);
    }

    /** Cancels a timer unless it is null. Returns null, to be assigned to the timer's field. */
    static XnioExecutor.Key cancelTimer(XnioExecutor.Key timer) {
        if (timer != null) {
            timer.remove();
        }
        return null;
    }

    private long elapsedNs() {
        return loop.now() - startedAt;
    }

    void endAttempt(Outcome outcome) {
        endAttempt(outcome, elapsedNs(), response == null ? null : response.load());
    }

    /**
     * Ends the attempt, unless it has ended already.
     *
     * @param reportedLoad the load report in the response's head, or null
     */
    private void endAttempt(Outcome outcome, long latencyNs, LoadReport reportedLoad) {
        if (ended) {
            return;
        }
        ended = true;
        if (response != null) {
            response.close(outcome == Outcome.OK);
        }
        cancelTimeout();
        if (outcome != Outcome.OK) {
            logFailure(outcome);
        }
        if (connect != null) {
            connect.cancel();
        }
        if (connection != null) {
            connection.close();
        }
        EndpointResponse received = outcome == Outcome.OK ? response.toEndpointResponse() : null;
        LoadReport load = reportedLoad;
        if (load == null && received != null && request.isHealthCheck()) {
            load = LoadReportParser.parse(new String(received.body(), StandardCharsets.UTF_8));
        }
        listener.attemptEnded(new AttemptResult(outcome, latencyNs, load, received));
    }

    private void logFailure(Outcome outcome) {
        log.attemptFailed(
                request.id(),
                endpoint == null ? "an unlisted endpoint" : endpoint.instanceId,
                outcome,
                failureReason,
                elapsedNs(),
                isRequestSent(),
                connectionIdleNs,
                response == null ? "none" : response.describe());
    }
}
