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
 * the request, and limits the time of each step. The response is kept by an {@link
 * AttemptResponse}.
 *
 * <p>An attempt is over, and its connection closed or returned to the pool, before its listener is
 * notified. Prevents a retry from running while the attempt before it holds a connection.
 */
public final class AttemptExchange implements ResponseListener {
    /** A response whose body is longer counts as malformed. */
    private static final long MAX_BODY_BYTES = 32 * 1024 * 1024;

    /** A longer request body is written from its own array, and not copied behind the head. */
    private static final int MAX_COPIED_BODY_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final ConnectionPool connections;

    /** Null: the endpoint is not in the list. */
    private final PooledEndpoint endpoint;

    private final EndpointRequest request;
    private final AttemptListener listener;
    private final long startedAt;
    private final long deadline;

    /** No byte of the request may be written then or later. */
    private final long writeDeadline;

    private XnioExecutor.Key timeout;
    private XnioExecutor.Key connectTimeout;

    /** Cancels the connect that is in progress, or null. */
    private Runnable cancelConnect;

    private HttpConnection connection;

    /** When the request's last byte was written, or its first if the last one is still to come. */
    private long sentAt;

    private boolean over;

    /** Null until the response's head has been received. */
    private AttemptResponse response;

    AttemptExchange(
            EventLoop loop,
            ConnectionPool connections,
            PooledEndpoint endpoint,
            EndpointRequest request,
            long timeoutNs,
            long writeDeadline,
            AttemptListener listener) {
        this.loop = loop;
        this.connections = connections;
        this.endpoint = endpoint;
        this.request = request;
        this.listener = listener;
        startedAt = loop.now();
        deadline = startedAt + timeoutNs;
        this.writeDeadline = writeDeadline;
    }

    void start() {
        if (over) {
            return;
        }
        if (endpoint == null) {
            end(Outcome.CONNECT_FAILED);
            return;
        }
        timeout = loop.schedule(deadline - loop.now(), this::timedOut);
        HttpConnection idle = connections.takeIdle(endpoint);
        if (idle != null) {
            send(idle);
            return;
        }
        connectTimeout =
                loop.scheduleAfterReading(
                        connections.connectTimeoutNs(), () -> end(Outcome.CONNECT_FAILED));
        cancelConnect = connections.connect(endpoint, this::connectCompleted);
    }

    /**
     * Handles the end of the connect.
     *
     * @param opened null: no connection could be established
     */
    private void connectCompleted(HttpConnection opened) {
        cancelConnect = null;
        if (over) {
            return; // the connection limit was reached, and that is reported a turn later
        }
        connectTimeout.remove();
        if (opened == null) {
            end(Outcome.CONNECT_FAILED);
        } else {
            send(opened);
        }
    }

    private void send(HttpConnection to) {
        boolean maySend = connections.maySend(endpoint, request.isProbe());
        long now = loop.now();
        if (!maySend || now >= deadline || !mayBeWritten() || !listener.isWanted()) {
            // Checked again right before the write, as things may have changed since the attempt
            // was decided: the endpoint drains, the deduplication window has passed, or the client
            // has disconnected.
            connections.release(endpoint, to);
            end(Outcome.NOT_SENT);
            return;
        }
        connection = to;
        sentAt = now;
        long timeLeftNs = request.source() == null ? deadline - now : request.afterBodyNs();
        RequestEncoder head = request.encoder(endpoint.hostPort, timeLeftNs);
        if (request.source() != null) {
            to.send(
                    head.encodeHead(request.source().length()),
                    request.source(),
                    MAX_BODY_BYTES,
                    this);
        } else {
            sendWithBufferedBody(to, head);
        }
    }

    private void sendWithBufferedBody(HttpConnection to, RequestEncoder head) {
        byte[] body = request.bodyToSend();
        boolean isLong = body != null && body.length > MAX_COPIED_BODY_BYTES;
        to.send(
                isLong ? head.encodeHead(body.length) : head.encode(body),
                isLong ? ByteBuffer.wrap(body) : null,
                MAX_BODY_BYTES,
                request.isHead(),
                this);
    }

    @Override
    public boolean mayBeWritten() {
        return loop.now() < writeDeadline;
    }

    /** Ends the attempt, unless the response turns out to have arrived without being read yet. */
    private void timedOut() {
        if (connection != null) {
            connection.readArrived();
        }
        if (isStreaming()) {
            return; // what was just read has started a long response
        }
        end(isSent() ? Outcome.TIMEOUT : outcomeIfUnsent());
    }

    /** Returns whether the endpoint may serve the request: its last byte has been written. */
    public boolean isSent() {
        return connection != null && connection.isSent();
    }

    /**
     * Returns the outcome of a request that was not written completely. The endpoint is not at
     * fault where the deadline for writing has passed.
     */
    private Outcome outcomeIfUnsent() {
        return mayBeWritten() ? Outcome.CONNECT_FAILED : Outcome.NOT_SENT;
    }

    @Override
    public void requestSent() {
        sentAt = loop.now(); // the time a long body takes to send is not the endpoint's latency
        if (request.source() != null && !isStreaming() && !over) {
            cancelTimeout();
            timeout = loop.schedule(request.afterBodyNs(), this::timedOut);
        }
        listener.requestSent();
    }

    @Override
    public void headReceived(int status, HeaderMap headers) {
        response =
                new AttemptResponse(
                        loop, this, listener, status, headers, request.forwarded() != null);
    }

    @Override
    public void bodyReceived(ByteBuffer piece) {
        if (!over) {
            response.add(piece);
        }
    }

    @Override
    public void responseCompleted() {
        connections.release(endpoint, connection);
        connection = null;
        end(response.outcome(), responseLatencyNs(), response.load());
    }

    /**
     * Returns the latency of a complete response, in nanoseconds, or {@link
     * LatencySampler#UNKNOWN}.
     *
     * <p>It does not include the time to open the connection. Otherwise an endpoint that gets few
     * requests, so that its idle connections are closed, would look slow because each request opens
     * a connection, and would get fewer still, even when the other endpoints are full.
     */
    private long responseLatencyNs() {
        if (isStreaming()) {
            return LatencySampler.UNKNOWN;
        }
        long atLeastNs = loop.arrivedNotBefore() - sentAt;
        long atMostNs = loop.arrivedBy() - sentAt;
        if (request.isProbe()) {
            return atMostNs; // not a sample of what requests usually take
        }
        return endpoint.latency.sample(atLeastNs, atMostNs);
    }

    @Override
    public void exchangeFailed(String reason) {
        Outcome outcome = isSent() ? Outcome.RESET : outcomeIfUnsent();
        // a load report in the head of a broken response is not trusted either
        end(outcome, elapsedNs(), null);
    }

    /** Ends the attempt; a request that was not written completely by now is never sent. */
    public void cancel() {
        end(isSent() ? Outcome.CANCELLED : Outcome.NOT_SENT);
    }

    boolean isOver() {
        return over;
    }

    /** From now on only silence ends the response, and not the time that the attempt takes. */
    void streamingStarted() {
        cancelTimeout();
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
        timeout = cancelled(timeout);
    }

    /**
     * Cancels a timer, or nothing if it is null; returns null, so that the field is cleared too.
     */
    static XnioExecutor.Key cancelled(XnioExecutor.Key timer) {
        if (timer != null) {
            timer.remove();
        }
        return null;
    }

    private long elapsedNs() {
        return loop.now() - startedAt;
    }

    void end(Outcome outcome) {
        end(outcome, elapsedNs(), response == null ? null : response.load());
    }

    /**
     * Ends the attempt, unless it is over already.
     *
     * @param reportedLoad from the response's head, or null
     */
    private void end(Outcome outcome, long latencyNs, LoadReport reportedLoad) {
        if (over) {
            return;
        }
        over = true;
        if (response != null) {
            response.close(outcome == Outcome.OK);
        }
        cancelTimeout();
        connectTimeout = cancelled(connectTimeout);
        if (cancelConnect != null) {
            cancelConnect.run();
        }
        if (connection != null) {
            connection.close();
        }
        EndpointResponse received = outcome == Outcome.OK ? response.toEndpointResponse() : null;
        LoadReport load = reportedLoad;
        if (load == null && received != null && request.isProbe()) {
            load = LoadReportParser.parse(new String(received.body(), StandardCharsets.UTF_8));
        }
        listener.attemptEnded(new AttemptResult(outcome, latencyNs, load, received));
    }
}
