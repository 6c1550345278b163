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
 * One client request, from its admission until it is answered and its last attempt has ended. The
 * balancer decides on each attempt; one is in flight at a time.
 */
final class ActiveRequest {
    private static final Logger LOG = LoggerFactory.getLogger(ActiveRequest.class);

    private static final byte[] NO_BODY = {};

    private final RequestDispatcher dispatcher;
    private final BalancerDriver driver;
    private final MetricsRecorder metrics;
    private final long id;
    private ClientRequest client;
    private final long deadline;
    private final long admittedAt;
    private final ClientResponse response;
    private EndpointRequest endpointRequest;
    private XnioExecutor.Key deadlineTimer;

    /** The number of attempts so far; they are numbered from 0. */
    private int attempts;

    /** The time from admission to the first attempt, ns; -1: there was no attempt. */
    private long queuedNs = -1;

    /** The attempt in flight, or null. */
    private AttemptExchange attemptInFlight;

    /** The last byte of the request was written to an endpoint. */
    private boolean mayHaveRun;

    /** The response has been started, or the client has disconnected: no response may follow. */
    private boolean finished;

    /** The client was sent the whole response of an endpoint. */
    private boolean served;

    /** The response is being streamed to the client, while the attempt is still in flight. */
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
        startDeadlineTimer();
        driver.deliver(
                this,
                (balancer, now) ->
                        balancer.requestArrived(
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
     * Starts a timer that fires after the balancer's own timer and the attempt's timeout. Prevents
     * a request that the balancer never answers from staying open for ever.
     */
    private void startDeadlineTimer() {
        deadlineTimer =
                dispatcher
                        .loop()
                        .scheduleAfterReading(
                                answerBy() - dispatcher.now(), this::handleDeadlineTimer);
    }

    /**
     * Returns by when the request is answered, as far as it is known now: the client's time counts
     * from the last byte of its body, and a response that has begun may be held a little longer.
     */
    private long answerBy() {
        long dueAt = deadline;
        if (client.bodySource() != null) {
            long dueAfterBody = client.bodySource().lastByteNotBefore() + client.timeLeftNs();
            dueAt = Math.min(deadline, dueAfterBody);
        }
        if (attemptInFlight != null) {
            dueAt = Math.max(dueAt, attemptInFlight.responseHeldUntil());
        }
        return dueAt + dispatcher.responseSlackNs() / 2;
    }

    /**
     * Starts an attempt.
     *
     * @param timeoutNs how long the attempt may last; 0: until the deadline
     * @param writeDeadline no byte is written then or later, by the loop's clock
     */
    void startAttempt(String endpoint, long timeoutNs, long writeDeadline) {
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
                                writeDeadline,
                                deadline,
                                new AttemptEvents(endpoint, attempt));
        if (client.bodySource() != null) {
            driver.deliver(this, (balancer, at) -> balancer.bodyStreamed(at, id, attempt));
        }
    }

    /** Receives the events of one attempt. */
    private final class AttemptEvents implements AttemptListener {
        private final String endpoint;
        private final int attempt;

        AttemptEvents(String endpoint, int attempt) {
            this.endpoint = endpoint;
            this.attempt = attempt;
        }

        /**
         * Checks the client's connection first. Prevents a loop that runs late from sending a
         * request whose client has disconnected, if the disconnect is still unread in the socket. A
         * request whose client may have disconnected is answered without this attempt.
         */
        @Override
        public boolean isResponseWanted() {
            boolean known = response.checkConnected();
            if (!known && mayHaveRun) {
                fail();
            } else if (!known) {
                reject(0);
            }
            return !finished;
        }

        @Override
        public void requestSent() {
            metrics.attemptSent();
            mayHaveRun = true;
        }

        @Override
        public void responseBegan(long heldUntil) {
            driver.deliver(
                    ActiveRequest.this,
                    (balancer, now) -> balancer.responseBegan(now, id, attempt, heldUntil));
        }

        @Override
        public ByteSink streamingStarted(
                EndpointResponse head, long length, LoadReport load, Runnable onCapacity) {
            if (finished) {
                return null; // the client has disconnected
            }
            finish();
            streaming = true;
            releaseSentBody();
            ByteSink sink =
                    response.beginStreaming(
                            head, length, onCapacity, ActiveRequest.this::clientDisconnected);
            deliverFirstByte(endpoint, attempt, load);
            return sink;
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
        public void attemptEnded(AttemptResult result) {
            attemptInFlight = null;
            handleAttemptEnd(endpoint, attempt, result);
        }
    }

    /** Drops the body once the response streams, after which the body is not sent again. */
    private void releaseSentBody() {
        if (client.bodySource() == null && attemptInFlight.isRequestSent()) {
            client = client.withBody(NO_BODY);
            endpointRequest = endpointRequest.withoutBody();
            response.onBodyReleased();
        }
    }

    /**
     * Tells the balancer that the client gets the first byte, so that the balancer makes no further
     * attempt, and delivers the head's load report like that of a health check.
     */
    private void deliverFirstByte(String endpoint, int attempt, LoadReport load) {
        driver.deliver(this, (balancer, now) -> balancer.firstByteReceived(now, id, attempt));
        if (load != null) {
            driver.deliver(
                    (balancer, now) -> balancer.healthChecked(now, endpoint, Outcome.OK, -1, load));
        }
    }

    /**
     * Passes a successful response on to the client at once, and then the outcome to the balancer,
     * which may retry a failed attempt.
     */
    private void handleAttemptEnd(String endpoint, int attempt, AttemptResult result) {
        boolean succeeded = result.outcome() == Outcome.OK;
        metrics.attemptEnded(endpoint, result.outcome(), result.latencyNs(), result.load());
        served = succeeded && (streaming || !finished);
        if (streaming) {
            recordResult(succeeded ? RequestResult.SERVED : RequestResult.FAILED);
        }
        if (succeeded && !finished) {
            finish();
            recordResult(RequestResult.SERVED);
            response.respond(result.response());
        }
        boolean requestFinished = finished;
        driver.deliver(
                this,
                (balancer, now) ->
                        balancer.attemptEnded(
                                now,
                                id,
                                attempt,
                                result.outcome(),
                                result.latencyNs(),
                                requestFinished,
                                result.load()));
        releaseIfDone();
    }

    /**
     * Rejects the request, unless it is finished: the client may retry.
     *
     * @param retryAfterNs when to retry; 0: no advice
     */
    void reject(long retryAfterNs) {
        if (!finished) {
            finish();
            recordResult(RequestResult.REFUSED);
            dispatcher.log().rejected(client, attempts);
            response.reject(retryAfterNs);
            releaseIfDone();
        }
    }

    /** Answers with a failure, unless the request is finished. */
    void fail() {
        if (!finished) {
            finish();
            recordResult(RequestResult.FAILED);
            dispatcher.log().failed(client, attempts);
            response.fail();
            releaseIfDone();
        }
    }

    /**
     * Handles the client's disconnect: no response is started. An attempt whose request has been
     * sent continues, as the endpoint processes the request anyway, unless a body is being streamed
     * from or to the client.
     */
    void clientDisconnected() {
        if (!finished) {
            metrics.clientDisconnected(client.requestClass());
        }
        finish();
        if (attemptInFlight != null
                && (streaming || client.bodySource() != null || !attemptInFlight.isRequestSent())) {
            attemptInFlight.cancel();
        }
        driver.deliver((balancer, now) -> balancer.clientDisconnected(now, id));
        releaseIfDone();
    }

    /** Cancels an attempt that the balancer no longer waits for. */
    void cancel(int attempt) {
        if (attemptInFlight != null && attempt == attempts - 1) {
            attemptInFlight.cancel();
        }
    }

    /** Returns whether the response has been started, or the client has disconnected. */
    boolean isFinished() {
        return finished;
    }

    /**
     * Cancels the attempt in flight of a request that was answered before the attempt ended. The
     * balancer is told that the client has disconnected, so it makes no further attempt.
     */
    void abandon() {
        clientDisconnected();
        cancel(attempts - 1);
    }

    private void handleDeadlineTimer() {
        if (finished) {
            return;
        }
        if (dispatcher.now() < answerBy()) {
            startDeadlineTimer(); // more of the body has arrived since, or a response has begun
        } else {
            deadlineExceeded();
        }
    }

    private void deadlineExceeded() {
        if (client.bodySource() != null && !mayHaveRun) {
            reject(0); // the balancer expects a body that takes its time until a later deadline
        } else {
            LOG.error(
                    "request {} of class {} was not answered by its deadline",
                    client.id(),
                    client.requestClass());
            fail();
        }
        clientDisconnected();
    }

    private void recordResult(RequestResult result) {
        metrics.requestAnswered(
                client.requestClass(), result, dispatcher.now() - admittedAt, queuedNs);
    }

    private void finish() {
        finished = true;
        deadlineTimer.remove();
    }

    /**
     * Returns whether the request may have run, its client has no response of an endpoint, and the
     * platform's protocol lets it run only once.
     */
    private boolean isSpent() {
        boolean runsOnce = client.forwardedHeaders() == null && !client.method().equals("GET");
        return runsOnce && mayHaveRun && !served;
    }

    private void releaseIfDone() {
        if (finished && attemptInFlight == null) {
            if (isSpent()) {
                dispatcher.addSpentId(client.id());
            }
            dispatcher.release(this, id, client.id());
        }
    }

    /** Tells the response that no part of the request is used any more. Called once. */
    void notifyReleased() {
        response.onReleased();
    }
}
