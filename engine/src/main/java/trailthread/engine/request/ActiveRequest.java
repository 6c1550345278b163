package trailthread.engine.request;

import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.engine.endpoint.Attempt;
import trailthread.engine.endpoint.AttemptListener;
import trailthread.engine.endpoint.AttemptResult;
import trailthread.engine.endpoint.EndpointRequest;
import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.http.ByteSink;
import trailthread.engine.metrics.RequestResult;

/** The life of one call, from top to bottom: taken, choice, attempt, outcome, answer. */
final class ActiveRequest {
    private static final Logger LOG = LoggerFactory.getLogger(ActiveRequest.class);

    private final RequestDispatcher calls;
    private final long id;
    private final ClientRequest client;
    private final long deadline;
    private final long takenAt;
    private final ClientResponse reply;
    private final EndpointRequest request;
    private XnioExecutor.Key overdue;
    private int attempts;

    /** From its taking to its first attempt; -1: there was none. */
    private long waitedNs = -1;

    /** What is out at an endpoint, or null. */
    private Attempt out;

    /** It has its answer, or its client has gone: no answer is owed. */
    private boolean finished;

    /** A long answer is on its way to the client. */
    private boolean streams;

    ActiveRequest(
            RequestDispatcher calls,
            long id,
            ClientRequest client,
            long deadline,
            ClientResponse reply) {
        this.calls = calls;
        this.id = id;
        this.client = client;
        this.deadline = deadline;
        takenAt = calls.now();
        this.reply = reply;
        this.request =
                new EndpointRequest(
                        client.id(),
                        client.requestClass(),
                        client.method(),
                        client.target(),
                        client.idempotencyKey(),
                        client.body(),
                        client.passing(),
                        client.source(),
                        client.timeLeftNs());
    }

    /** Taken: the module hears of it, and chooses. */
    void taken() {
        // Guards against a module that forgets a call: its client is owed an answer within the
        // slack.
        long withinNs = deadline - takenAt + calls.responseSlackNs() / 2;
        overdue = calls.loop().afterReading(withinNs, this::overdue);
        calls.decisions()
                .event(
                        this,
                        (module, now) ->
                                module.request(
                                        now,
                                        id,
                                        client.requestClass(),
                                        client.workNs(),
                                        deadline,
                                        client.account(),
                                        client.repeat(),
                                        client.entity()));
    }

    /**
     * The choice: an endpoint, how long to wait for it (0: as long as the client does), and until
     * when it is written.
     */
    void attempt(String endpoint, long timeoutNs, long writtenBy) {
        int attempt = attempts++;
        calls.meter().attemptBegun(endpoint);
        long now = calls.now();
        waitedNs = attempt == 0 ? now - takenAt : waitedNs;
        long left = deadline - now;
        boolean spent =
                client.source() != null
                        && client.source().hasBegun(); // such a body can't be sent again
        if (finished || out != null || left <= 0 || spent) {
            outcome(endpoint, attempt, new AttemptResult(Outcome.NOT_SENT, 0, null, null));
            return;
        }
        long wait = timeoutNs == 0 ? left : Math.min(timeoutNs, left);
        out =
                calls.endpoints()
                        .attempt(
                                endpoint,
                                request,
                                wait,
                                writtenBy,
                                new AttemptListener() {
                                    @Override
                                    public boolean isWanted() {
                                        // Guards against a loop that runs late: that the client has
                                        // left lies unread in its socket, or came
                                        // along with the request.
                                        reply.look();
                                        return !finished;
                                    }

                                    @Override
                                    public void sent() {
                                        calls.meter().attemptSent();
                                        if (client.source() != null) {
                                            bodySent();
                                        }
                                    }

                                    @Override
                                    public ByteSink begins(
                                            EndpointResponse head,
                                            long length,
                                            LoadReport told,
                                            Runnable more) {
                                        return begun(
                                                endpoint,
                                                attempt,
                                                told,
                                                () ->
                                                        reply.begin(
                                                                head,
                                                                length,
                                                                more,
                                                                ActiveRequest.this::gone));
                                    }

                                    @Override
                                    public void ended(AttemptResult ending) {
                                        out = null;
                                        outcome(endpoint, attempt, ending);
                                    }
                                });
    }

    /**
     * The client's time counts from the last byte of its body, which has only now gone to the
     * endpoint.
     */
    private void bodySent() {
        if (!finished) {
            overdue.remove();
            overdue =
                    calls.loop()
                            .afterReading(
                                    client.timeLeftNs() + calls.responseSlackNs() / 2,
                                    this::overdue);
        }
    }

    /**
     * A long answer begins: the client has it from here on, and the module makes no further
     * attempt.
     */
    private ByteSink begun(
            String endpoint, int attempt, LoadReport told, Supplier<ByteSink> begin) {
        if (finished) {
            return null; // the client has gone
        }
        finish();
        streams = true;
        ByteSink sink = begin.get();
        calls.decisions().event(this, (module, now) -> module.firstByte(now, id, attempt));
        if (told != null) {
            calls.decisions()
                    .event(
                            null,
                            (module, now) ->
                                    module.healthChecked(now, endpoint, Outcome.OK, -1, told));
        }
        return sink;
    }

    /**
     * The outcome: an answer goes to the client at once, then the module hears, and may choose
     * again.
     */
    private void outcome(String endpoint, int attempt, AttemptResult ending) {
        calls.meter().attemptEnded(endpoint, ending.outcome(), ending.latencyNs(), ending.load());
        if (streams) {
            answered(ending.outcome() == Outcome.OK ? RequestResult.SERVED : RequestResult.FAILED);
        }
        if (ending.outcome() == Outcome.OK && !finished) {
            finish();
            answered(RequestResult.SERVED);
            reply.served(ending.made());
        }
        boolean closed = finished;
        calls.decisions()
                .event(
                        this,
                        (module, now) ->
                                module.outcome(
                                        now,
                                        id,
                                        attempt,
                                        ending.outcome(),
                                        ending.latencyNs(),
                                        closed,
                                        ending.load()));
        forgetIfDone();
    }

    /** The answer, where no endpoint made one: a refusal. */
    void refuse(long retryAfterNs) {
        if (!finished) {
            finish();
            answered(RequestResult.REFUSED);
            reply.refused(retryAfterNs);
            forgetIfDone();
        }
    }

    /** The answer, where no endpoint made one: a failure. */
    void fail() {
        if (!finished) {
            finish();
            answered(RequestResult.FAILED);
            reply.failed();
            forgetIfDone();
        }
    }

    /**
     * No answer: the client has gone. What has been written to an endpoint comes to its own end,
     * all else is not.
     */
    void gone() {
        if (!finished) {
            calls.meter().gone(client.requestClass());
        }
        finish();
        if (out != null && (streams || client.source() != null || !out.isSent())) {
            out.cancel(); // nobody reads the rest, or sends it, or waits for what has not begun
        }
        calls.decisions().event(null, (module, now) -> module.gone(now, id));
        forgetIfDone();
    }

    /** The module no longer waits for an attempt. */
    void cancel(int attempt) {
        if (out != null && attempt == attempts - 1) {
            out.cancel();
        }
    }

    /**
     * It is not waited for any longer: it has its answer now, and what is out for it is given up.
     */
    void giveUp() {
        if (!finished) {
            fail();
            gone();
            cancel(attempts - 1);
        }
    }

    private void overdue() {
        if (!finished) {
            LOG.error(
                    "call {} of class {} was not answered in time",
                    client.id(),
                    client.requestClass());
            fail();
            gone();
        }
    }

    private void answered(RequestResult answer) {
        calls.meter().answered(client.requestClass(), answer, calls.now() - takenAt, waitedNs);
    }

    private void finish() {
        finished = true;
        overdue.remove();
    }

    private void forgetIfDone() {
        if (finished && out == null) {
            calls.forget(this, id, client.id());
        }
    }

    void released() {
        reply.released();
    }
}
