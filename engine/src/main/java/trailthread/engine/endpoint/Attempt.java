package trailthread.engine.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.xnio.XnioExecutor;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.engine.http.ByteSink;
import trailthread.engine.http.HttpConnection;
import trailthread.engine.http.RequestEncoder;
import trailthread.engine.http.ResponseListener;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.loop.Seconds;

/**
 * One attempt at an endpoint: a connection, the request, the answer, the ending. It is over, and
 * its connection closed, before anyone hears of its ending, so that no second copy can be out
 * beside it.
 */
public final class Attempt implements ResponseListener {
    /** What is longer is passed on as it comes. */
    private static final int MOST_HELD_BYTES = 64 * 1024;

    /**
     * An answer of untold length is held for so long from its first bytes on. Past 64 KiB its time
     * is that of its first bytes, and an endpoint that brings them slowly would use it up.
     */
    private static final long HELD_NS = 100_000_000L;

    /** Who promises or brings more does not mean it. */
    private static final long MOST_BODY_BYTES = 32 * 1024 * 1024;

    /**
     * An answer that is passed on and brings nothing for so long, though there is room for it, has
     * broken.
     */
    private static final long SILENT_NS = 10_000_000_000L;

    private final EventLoop loop;
    private final ConnectionPool connections;
    private final Endpoint endpoint;
    private final EndpointRequest request;
    private final AttemptListener listener;
    private final long startedAt;
    private final long endsAt;

    /** From then on no byte of it may be written. */
    private final long writtenBy;

    private XnioExecutor.Key timeout;
    private XnioExecutor.Key connectTimeout;
    private XnioExecutor.Key heldEnough;
    private XnioExecutor.Key silence;

    /** Takes back a connect that has not come up, or null. */
    private Runnable connecting;

    private HttpConnection connection;

    /** When the request was written, or began to be. */
    private long sentAt;

    private boolean over;
    private ResponseHead answer;

    /** Its length as its head told it, or -1. */
    private long length = -1;

    /** Where it goes as it comes, or null: it is held. */
    private ByteSink sink;

    private boolean roomForMore;
    private long cameAt;

    /** The answer's headers, if they are passed on. */
    private HeaderMap passed;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream(512);

    Attempt(
            EventLoop loop,
            ConnectionPool connections,
            Endpoint endpoint,
            EndpointRequest request,
            long timeoutNs,
            long writtenBy,
            AttemptListener listener) {
        this.loop = loop;
        this.connections = connections;
        this.endpoint = endpoint;
        this.request = request;
        this.listener = listener;
        startedAt = loop.now();
        endsAt = startedAt + timeoutNs;
        this.writtenBy = writtenBy;
    }

    void start() {
        if (over) {
            return;
        }
        if (endpoint == null) {
            end(Outcome.CONNECT_FAILED);
            return;
        }
        timeout = loop.after(endsAt - loop.now(), this::late);
        HttpConnection idle = connections.takeIdle(endpoint);
        if (idle != null) {
            send(idle);
            return;
        }
        connectTimeout =
                loop.afterReading(connections.connectTimeoutNs, () -> end(Outcome.CONNECT_FAILED));
        connecting = connections.connect(endpoint, this::connected);
    }

    private void connected(HttpConnection opened) {
        connecting = null;
        if (over) {
            return; // there was no room for another connection, and that was told late
        }
        connectTimeout.remove();
        if (opened == null) {
            end(Outcome.CONNECT_FAILED);
        } else {
            send(opened);
        }
    }

    private void send(HttpConnection to) {
        boolean mayBegin = connections.mayBegin(endpoint, request.isProbe());
        long now = loop.now();
        if (!mayBegin || now >= endsAt || !mayBeWritten() || !listener.isWanted()) {
            // What was right when it was decided may not be so any more: a drain has become known,
            // an endpoint no longer
            // drops this as a repeat, or nobody waits for it. The rules count from when it is
            // written.
            connections.keep(endpoint, to);
            end(Outcome.NOT_SENT);
            return;
        }
        connection = to;
        sentAt = now;
        long waitsNs = request.source() == null ? endsAt - now : request.afterBodyNs();
        ForwardedHeaders passing = request.passing();
        RequestEncoder head =
                new RequestEncoder(
                        request.method(),
                        request.target(),
                        passing == null || passing.host().isEmpty()
                                ? endpoint.hostPort
                                : passing.host());
        if (passing != null) {
            List<String> headers = passing.headers();
            for (int i = 0; i < headers.size(); i += 2) {
                head.header(headers.get(i), headers.get(i + 1));
            }
            head.header("Via", "1.1 trailthread")
                    .header("X-Correlation-Id", request.id())
                    .header("X-Time-Left", Seconds.format(waitsNs));
        } else if (!request.isProbe()) {
            head.header("X-Correlation-Id", request.id())
                    .header("X-Service-Class", request.requestClass())
                    .header("X-Time-Left", Seconds.format(waitsNs))
                    .header("Idempotency-Key", request.idempotencyKey());
        }
        if (request.source() != null) {
            to.send(
                    head.encodeHead(request.source().length()),
                    request.source(),
                    MOST_BODY_BYTES,
                    this);
            return;
        }
        byte[] sent = request.sent();
        boolean isLong =
                sent != null && sent.length > MOST_HELD_BYTES; // not to be copied once more
        to.send(
                isLong ? head.encodeHead(sent.length) : head.encode(sent),
                isLong ? ByteBuffer.wrap(sent) : null,
                MOST_BODY_BYTES,
                request.isHead(),
                this);
    }

    private static XnioExecutor.Key removed(XnioExecutor.Key timer) {
        if (timer != null) {
            timer.remove();
        }
        return null;
    }

    @Override
    public boolean mayBeWritten() {
        return loop.now() < writtenBy;
    }

    /** Its time is over. An answer that has come and was not read yet is no time-out. */
    private void late() {
        if (connection != null) {
            connection.look();
        }
        if (sink != null) {
            return; // that look has found the beginning of a long one
        }
        end(isSent() ? Outcome.TIMEOUT : unsent());
    }

    /** Whether the endpoint may run it: the request's last byte has been written. */
    public boolean isSent() {
        return connection != null && connection.isSent();
    }

    /**
     * What has become of it that was not written whole: the endpoint is not to blame for what came
     * too late to it.
     */
    private Outcome unsent() {
        return mayBeWritten() ? Outcome.CONNECT_FAILED : Outcome.NOT_SENT;
    }

    @Override
    public void sent() {
        sentAt = loop.now(); // a long body's own way is not the endpoint's time
        if (request.source() != null && sink == null && !over) {
            timeout = removed(timeout);
            timeout = loop.after(request.afterBodyNs(), this::late);
        }
        listener.sent();
    }

    @Override
    public void head(int status, HeaderMap headers) {
        answer = ResponseHead.decode(status, headers);
        passed = request.passing() == null ? null : headers;
        String told = headers.getFirst(Headers.CONTENT_LENGTH);
        length = told == null ? -1 : Long.parseLong(told);
    }

    @Override
    public void body(ByteBuffer piece) {
        if (over || (sink == null && answer.outcome(passed != null) != Outcome.OK)) {
            return; // nobody will see it
        }
        if (body.size() == 0 && sink == null && length < 0) {
            heldEnough = loop.after(HELD_NS, this::begins);
        }
        if (sink == null
                && body.size() + piece.remaining() <= MOST_HELD_BYTES
                && length <= MOST_HELD_BYTES) {
            byte[] bytes = new byte[piece.remaining()];
            piece.get(bytes);
            body.write(bytes, 0, bytes.length);
            return;
        }
        if (sink == null && !begins()) {
            return;
        }
        cameAt = loop.now();
        pass(piece);
    }

    /** Passes on what is held, and all that comes from now on as it comes. */
    private boolean begins() {
        heldEnough = removed(heldEnough);
        EndpointResponse head = new EndpointResponse(answer.status(), passed, new byte[0]);
        sink = listener.begins(head, length, answer.load(), this::goOn);
        if (sink == null) {
            end(Outcome.CANCELLED);
            return false;
        }
        timeout = removed(timeout);
        silence = loop.after(SILENT_NS, this::endIfSilent);
        if (body.size() > 0) {
            pass(ByteBuffer.wrap(body.toByteArray()));
            body.reset();
        }
        return !over;
    }

    private void pass(ByteBuffer piece) {
        roomForMore = sink.piece(piece);
        if (!roomForMore && connection != null) {
            connection.pause();
        }
    }

    private void goOn() {
        roomForMore = true;
        cameAt = loop.now();
        if (connection != null) {
            connection.resume();
        }
    }

    private void endIfSilent() {
        if (!over) {
            long silentNs = roomForMore ? loop.now() - cameAt : 0;
            if (silentNs >= SILENT_NS) {
                end(Outcome.RESET);
            } else {
                silence = loop.after(SILENT_NS - silentNs, this::endIfSilent);
            }
        }
    }

    @Override
    public void whole() {
        connections.keep(endpoint, connection);
        connection = null;
        long atLeastNs = loop.cameNotBefore() - sentAt;
        long atMostNs = loop.cameBy() - sentAt;
        // What probes take says nothing of what is usual for calls.
        endedAfter(
                sink != null
                        ? LatencySample.UNKNOWN
                        : request.isProbe()
                                ? atMostNs
                                : endpoint.answerTime.told(atLeastNs, atMostNs),
                answer.outcome(passed != null));
    }

    @Override
    public void broken(String how) {
        answer = null; // a load report that came with it is worth no more than the rest
        end(isSent() ? Outcome.RESET : unsent());
    }

    /** Stops waiting; what has not been written whole by then never is. */
    public void cancel() {
        end(isSent() ? Outcome.CANCELLED : Outcome.NOT_SENT);
    }

    private void end(Outcome outcome) {
        endedAfter(loop.now() - startedAt, outcome);
    }

    /**
     * The latency of an answer is told without the opening of the connection. Guards against an
     * endpoint that is rarely asked, so that its connections idle out: each call there would open
     * one, pass for slow with it, and keep the module from asking more, also when the others are
     * full.
     */
    private void endedAfter(long latencyNs, Outcome outcome) {
        if (over) {
            return;
        }
        over = true;
        if (sink != null && outcome == Outcome.OK) {
            sink.end();
        } else if (sink != null) {
            sink.broken();
        }
        timeout = removed(timeout);
        connectTimeout = removed(connectTimeout);
        heldEnough = removed(heldEnough);
        silence = removed(silence); // it would keep the request's body, too
        if (connecting != null) {
            connecting.run();
        }
        if (connection != null) {
            connection.close();
        }
        EndpointResponse made =
                outcome != Outcome.OK
                        ? null
                        : passed == null
                                ? EndpointResponse.of(body.toByteArray())
                                : new EndpointResponse(answer.status(), passed, body.toByteArray());
        LoadReport load =
                answer == null || sink != null
                        ? null
                        : answer.load(); // old by the end of a long answer
        if (load == null && made != null && request.isProbe()) {
            load = LoadReportParser.parse(new String(made.body(), StandardCharsets.UTF_8));
        }
        listener.ended(new AttemptResult(outcome, latencyNs, load, made));
    }
}
