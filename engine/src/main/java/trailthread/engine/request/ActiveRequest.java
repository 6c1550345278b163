package trailthread.engine.request;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.engine.endpoint.AttemptExchange;
import trailthread.engine.endpoint.AttemptListener;
import trailthread.engine.endpoint.AttemptResult;
import trailthread.engine.endpoint.EndpointRequest;
import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.http.ByteSink;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.RequestResult;

/**
 * One client request, from its admission to its answer and the end of its last attempt. The
 * balancer decides on each attempt; one is in flight at a time.
 */
final class ActiveRequest {
    private static final Logger LOG = LoggerFactory.getLogger(ActiveRequest.class);

    private final RequestDispatcher dispatcher;
    private final BalancerDriver driver;
    private final MetricsRecorder metrics;
    private final long id;
    private final ClientRequest client;
    private final long deadline;
    private final long admittedAt;
    private final ClientResponse response;
    private final EndpointRequest endpointRequest;
    private XnioExecutor.Key deadlineTimer;

    /** How many attempts have been made; they are numbered from 0. */
    private int attempts;

    /** From admission to the first attempt, ns; -1: there was none. */
    private long queuedNs = -1;

    /** The attempt in flight, or null. */
    private AttemptExchange attemptInFlight;

    /** No answer is to be sent any more: it was sent or begun, or the client has disconnected. */
    private boolean finished;

    /** The answer is streamed to the client while the attempt goes on. */
    private boolean streaming;

    ActiveRequest(
            RequestDispatcher dispatcher,
            long id,
            ClientRequest client,
            long deadline,
            ClientResponse response) {
        this.dispatcher = dispatcher;
        driver = dispatcher.driver();
        metrics = dispatcher.metrics();
        this.id = id;
        this.client = client;
        this.deadline = deadline;
        admittedAt = dispatcher.now();
        this.response = response;
        this.endpointRequest =
                new EndpointRequest(
                        client.id(),
                        client.requestClass(),
                        client.method(),
                        client.target(),
                        client.idempotencyKey(),
                        client.body(),
                        client.forwardedHeaders(),
                        client.bodySource(),
                        client.timeLeftNs());
    }

    /** Starts the deadline timer and delivers the request to the balancer. */
    void start() {
        startDeadlineTimer(deadline - admittedAt);
        driver.deliver(
                this,
                (balancer, now) ->
                        balancer.request(
                                now,
                                id,
                                client.requestClass(),
                                client.workNs(),
                                deadline,
                                client.tenant(),
                                client.isRetry(),
                                client.affinityKey()));
    }

    /**
     * A backstop: the balancer's own timer and the attempt's timeout fire before it. Prevents a
     * request that the balancer has lost from staying open for ever.
     */
    private void startDeadlineTimer(long timeLeftNs) {
        deadlineTimer =
                dispatcher
                        .loop()
                        .scheduleAfterReading(
                                timeLeftNs + dispatcher.responseSlackNs() / 2,
                                this::deadlineExceeded);
    }

    /**
     * Starts an attempt.
     *
     * @param timeoutNs how long to wait for its end; 0: until the deadline
     * @param writtenBy from then on it is not written any more, by the loop's clock
     */
    void startAttempt(String endpoint, long timeoutNs, long writtenBy) {
        int attempt = attempts++;
        metrics.attemptStarted(endpoint);
        long now = dispatcher.now();
        if (attempt == 0) {
            queuedNs = now - admittedAt;
        }
        long timeLeftNs = deadline - now;
        // A streamed body can't be sent a second time.
        boolean bodyConsumed = client.bodySource() != null && client.bodySource().isStarted();
        if (finished || attemptInFlight != null || timeLeftNs <= 0 || bodyConsumed) {
            handleAttemptEnd(endpoint, attempt, new AttemptResult(Outcome.NOT_SENT, 0, null, null));
            return;
        }
        attemptInFlight =
                dispatcher
                        .endpoints()
                        .attempt(
                                endpoint,
                                endpointRequest,
                                timeoutNs == 0 ? timeLeftNs : Math.min(timeoutNs, timeLeftNs),
                                writtenBy,
                                new AttemptEvents(endpoint, attempt));
    }

    /** Follows one attempt. */
    private final class AttemptEvents implements AttemptListener {
        private final String endpoint;
        private final int attempt;

        AttemptEvents(String endpoint, int attempt) {
            this.endpoint = endpoint;
            this.attempt = attempt;
        }

        /**
         * Looks at the client's connection first. Prevents a loop that runs late from sending a
         * request whose client has disconnected, which is still unread in the socket.
         */
        @Override
        public boolean isWanted() {
            response.checkConnected();
            return !finished;
        }

        @Override
        public void requestSent() {
            metrics.attemptSent();
            if (client.bodySource() != null) {
                streamedBodySent();
            }
        }

        @Override
        public ByteSink streamingStarted(
                EndpointResponse head, long length, LoadReport load, Runnable more) {
            if (finished) {
                return null; // the client has disconnected
            }
            finish();
            streaming = true;
            ByteSink sink =
                    response.beginStreaming(
                            head, length, more, ActiveRequest.this::clientDisconnected);
            streamingBegun(endpoint, attempt, load);
            return sink;
        }

        @Override
        public void attemptEnded(AttemptResult result) {
            attemptInFlight = null;
            handleAttemptEnd(endpoint, attempt, result);
        }
    }

    /** The deadline counts from the body's last byte, which has just been sent to the endpoint. */
    private void streamedBodySent() {
        if (!finished) {
            deadlineTimer.remove();
            startDeadlineTimer(client.timeLeftNs());
        }
    }

    /** Once the client has the first byte, the balancer makes no further attempt. */
    private void streamingBegun(String endpoint, int attempt, LoadReport load) {
        driver.deliver(this, (balancer, now) -> balancer.firstByte(now, id, attempt));
        if (load != null) {
            driver.deliver(
                    (balancer, now) -> balancer.healthChecked(now, endpoint, Outcome.OK, -1, load));
        }
    }

    /**
     * Passes a successful answer on to the client at once, and then the outcome to the balancer,
     * which may retry a failed attempt.
     */
    private void handleAttemptEnd(String endpoint, int attempt, AttemptResult result) {
        boolean succeeded = result.outcome() == Outcome.OK;
        metrics.attemptEnded(endpoint, result.outcome(), result.latencyNs(), result.load());
        if (streaming) {
            recordAnswer(succeeded ? RequestResult.SERVED : RequestResult.FAILED);
        }
        if (succeeded && !finished) {
            finish();
            recordAnswer(RequestResult.SERVED);
            response.respond(result.response());
        }
        boolean closed = finished;
        driver.deliver(
                this,
                (balancer, now) ->
                        balancer.outcome(
                                now,
                                id,
                                attempt,
                                result.outcome(),
                                result.latencyNs(),
                                closed,
                                result.load()));
        releaseIfDone();
    }

    /**
     * Rejects the request, unless it is finished: the client may retry.
     *
     * @param retryAfterNs when to retry; 0: no advice
     */
    void refuse(long retryAfterNs) {
        if (!finished) {
            finish();
            recordAnswer(RequestResult.REFUSED);
            response.reject(retryAfterNs);
            releaseIfDone();
        }
    }

    /** Answers with a failure, unless the request is finished. */
    void fail() {
        if (!finished) {
            finish();
            recordAnswer(RequestResult.FAILED);
            response.fail();
            releaseIfDone();
        }
    }

    /**
     * The client has disconnected: no answer is sent. A request that has been sent is left to run
     * to its end, as the endpoint processes it anyway.
     */
    void clientDisconnected() {
        if (!finished) {
            metrics.clientDisconnected(client.requestClass());
        }
        finish();
        if (attemptInFlight != null
                && (streaming || client.bodySource() != null || !attemptInFlight.isSent())) {
            attemptInFlight.cancel();
        }
        driver.deliver((balancer, now) -> balancer.clientDisconnected(now, id));
        releaseIfDone();
    }

    /** The balancer no longer waits for an attempt. */
    void cancel(int attempt) {
        if (attemptInFlight != null && attempt == attempts - 1) {
            attemptInFlight.cancel();
        }
    }

    /** Whether no answer is to be sent any more. */
    boolean isFinished() {
        return finished;
    }

    /** Cancels the attempt in flight of a request that was answered before its end. */
    void abandon() {
        clientDisconnected();
        cancel(attempts - 1);
    }

    private void deadlineExceeded() {
        if (!finished) {
            LOG.error(
                    "request {} of class {} was not answered in time",
                    client.id(),
                    client.requestClass());
            fail();
            clientDisconnected();
        }
    }

    private void recordAnswer(RequestResult result) {
        metrics.requestAnswered(
                client.requestClass(), result, dispatcher.now() - admittedAt, queuedNs);
    }

    private void finish() {
        finished = true;
        deadlineTimer.remove();
    }

    private void releaseIfDone() {
        if (finished && attemptInFlight == null) {
            dispatcher.release(this, id, client.id());
        }
    }

    /** Nothing of the request is used any more; called once. */
    void released() {
        response.onReleased();
    }
}
