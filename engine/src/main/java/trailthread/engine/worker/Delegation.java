package trailthread.engine.worker;

import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;
import trailthread.BalancerApi.Load;
import trailthread.BalancerApi.Outcome;
import trailthread.engine.http.AnswerListener;
import trailthread.engine.http.HttpConnection;
import trailthread.engine.http.RequestEncoder;
import trailthread.engine.loop.Loop;
import trailthread.engine.loop.Seconds;

/**
 * One attempt at a worker: a connection, the request, the answer, the ending. It is over, and its connection
 * closed, before anyone hears of its ending, so that no second copy can be out beside it.
 */
public final class Delegation implements AnswerListener {
    private static final int MOST_BODY_BYTES = 64 * 1024;

    private final Loop loop;
    private final Connections connections;
    private final Worker worker;
    private final WorkerRequest request;
    private final Runnable sent;
    private final Consumer<Ending> ended;
    private final long startedAt;
    private final long endsAt;
    private XnioExecutor.Key timeout;
    private XnioExecutor.Key connectTimeout;
    /** Takes back a connect that has not come up, or null. */
    private Runnable connecting;
    private HttpConnection connection;
    /** When the request was written, or began to be. */
    private long sentAt;
    private boolean over;
    private WorkerAnswer answer;
    /** The answer's headers, if they are passed on. */
    private HeaderMap passed;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(512);

    Delegation(Loop loop, Connections connections, Worker worker, WorkerRequest request, long timeoutNs,
               Runnable sent, Consumer<Ending> ended) {
        this.loop = loop;
        this.connections = connections;
        this.worker = worker;
        this.request = request;
        this.sent = sent;
        this.ended = ended;
        startedAt = loop.now();
        endsAt = startedAt + timeoutNs;
    }

    void start() {
        if (over) {
            return;
        }
        if (worker == null) {
            end(Outcome.CONNECT_FAILED);
            return;
        }
        timeout = loop.after(endsAt - loop.now(), this::late);
        HttpConnection idle = connections.takeIdle(worker);
        if (idle != null) {
            send(idle);
            return;
        }
        connectTimeout = loop.afterReading(connections.connectTimeoutNs, () -> end(Outcome.CONNECT_FAILED));
        connecting = connections.connect(worker, this::connected);
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
        long now = loop.now();
        if (!worker.takesNew(now, connections.drainGraceNs)) {
            // The drain became known while the send was on its way; the rule counts the first byte.
            connections.keep(worker, to);
            end(Outcome.MOOT);
            return;
        }
        connection = to;
        sentAt = now;
        Passing passing = request.passing();
        RequestEncoder head = new RequestEncoder(request.method(), request.target(),
                passing == null || passing.host().isEmpty() ? worker.hostPort : passing.host());
        if (passing != null) {
            List<String> headers = passing.headers();
            for (int i = 0; i < headers.size(); i += 2) {
                head.header(headers.get(i), headers.get(i + 1));
            }
            head.header("Via", "1.1 trailthread")
                    .header("X-Correlation-Id", request.id())
                    .header("X-Time-Left", Seconds.format(endsAt - now));
        } else if (!request.isProbe()) {
            head.header("X-Correlation-Id", request.id())
                    .header("X-Service-Class", request.requestClass())
                    .header("X-Time-Left", Seconds.format(endsAt - now))
                    .header("Idempotency-Key", request.idempotencyKey());
        }
        to.send(head.encode(request.sent()), MOST_BODY_BYTES, request.isHead(), this);
    }

    /** Its time is over. An answer that has come and was not read yet is no time-out. */
    private void late() {
        if (connection != null) {
            connection.look();
        }
        end(isSent() ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
    }

    /** Whether the worker may run it: the request's last byte has been written. */
    private boolean isSent() {
        return connection != null && connection.isSent();
    }

    @Override
    public void sent() {
        sent.run();
    }

    @Override
    public void head(int status, HeaderMap headers) {
        answer = WorkerAnswer.decode(status, headers);
        passed = request.passing() == null ? null : headers;
    }

    @Override
    public void body(ByteBuffer piece) {
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        body.write(bytes, 0, bytes.length);
    }

    @Override
    public void whole() {
        connections.keep(worker, connection);
        connection = null;
        long atLeastNs = loop.cameNotBefore() - sentAt;
        long atMostNs = loop.cameBy() - sentAt;
        // What probes take says nothing of what is usual for calls.
        endedAfter(request.isProbe() ? atMostNs : worker.answerTime.told(atLeastNs, atMostNs),
                answer.outcome(passed != null));
    }

    @Override
    public void broken(String how) {
        answer = null; // a load report that came with it is worth no more than the rest
        end(isSent() ? Outcome.RESET : Outcome.CONNECT_FAILED);
    }

    /** Stops waiting. */
    public void cancel() {
        end(Outcome.CANCELLED);
    }

    private void end(Outcome outcome) {
        endedAfter(loop.now() - startedAt, outcome);
    }

    /**
     * The latency of an answer is told without the opening of the connection. Guards against a worker that is
     * rarely asked, so that its connections idle out: each call there would open one, pass for slow with it,
     * and keep the module from asking more, also when the others are full.
     */
    private void endedAfter(long latencyNs, Outcome outcome) {
        if (over) {
            return;
        }
        over = true;
        if (timeout != null) {
            timeout.remove();
        }
        if (connectTimeout != null) {
            connectTimeout.remove();
        }
        if (connecting != null) {
            connecting.run();
        }
        if (connection != null) {
            connection.close();
        }
        Made made = outcome != Outcome.OK ? null : passed == null ? Made.of(body.toByteArray())
                : new Made(answer.status(), passed, body.toByteArray());
        Load load = answer == null ? null : answer.load();
        if (load == null && made != null && request.isProbe()) {
            load = LoadReport.parse(new String(made.body(), StandardCharsets.UTF_8));
        }
        ended.accept(new Ending(outcome, latencyNs, load, made));
    }
}
