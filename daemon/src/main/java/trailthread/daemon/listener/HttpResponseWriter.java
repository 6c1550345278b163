package trailthread.daemon.listener;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.xnio.IoUtils;
import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.http.ByteSink;
import trailthread.engine.http.EndToEndHeaders;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.loop.Seconds;
import trailthread.engine.request.ClientResponse;

/** Answers one call over HTTP, and notices when its client goes away. */
final class HttpResponseWriter implements ClientResponse {
    /** An endpoint's word to the node alone. */
    private static final Set<String> LEFT_OUT = Set.of("x-backend-load", "x-unprocessed");

    private static final int REFUSED = 503;
    private static final int FAILED = 502;

    /** A client that does not read its answer for so long loses it, and its connection. */
    private static final long READ_WITHIN_NS = 10_000_000_000L;

    private final EventLoop loop;
    private final HttpServerExchange exchange;
    private final boolean plain;
    private final BooleanSupplier closing;
    private final BodyMemoryLimit room;
    private final Runnable released;
    private final Runnable unread;
    private boolean answered;

    /** Runs if the client goes away; null: it is not watched. */
    private Runnable gone;

    /** The answer, if it is passed on as it comes; else null. */
    private StreamedResponse longAnswer;

    /**
     * @param plain whether an endpoint's status and headers are passed on
     * @param closing whether the connection is to end with the answer
     * @param room what is sent ahead takes of it, past a buffer
     * @param released runs once nothing of the call is kept
     * @param unread runs before an answer that goes out while the body has not come whole
     */
    HttpResponseWriter(
            EventLoop loop,
            HttpServerExchange exchange,
            boolean plain,
            BooleanSupplier closing,
            BodyMemoryLimit room,
            Runnable released,
            Runnable unread) {
        this.loop = loop;
        this.exchange = exchange;
        this.plain = plain;
        this.closing = closing;
        this.room = room;
        this.released = released;
        this.unread = unread;
    }

    @Override
    public void served(EndpointResponse made) {
        passHeaders(made);
        answer(made.status(), made.body());
    }

    @Override
    public ByteSink begin(EndpointResponse head, long length, Runnable more, Runnable gone) {
        passHeaders(head);
        head(head.status());
        if (length >= 0) {
            exchange.setResponseContentLength(length);
        }
        longAnswer = new StreamedResponse(loop, exchange, more, gone);
        return longAnswer;
    }

    private void passHeaders(EndpointResponse made) {
        if (made.headers() != null && plain) {
            // Where they can't be told apart from another answer's beginning, they are left out:
            // never seen here.
            EndToEndHeaders.pass(made.headers(), LEFT_OUT, exchange.getResponseHeaders()::add);
            exchange.getResponseHeaders().add(Headers.VIA, "1.1 trailthread");
            String length = made.headers().getFirst(Headers.CONTENT_LENGTH);
            if (exchange.getRequestMethod().equals(Methods.HEAD) && length != null) {
                exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
            }
        }
    }

    @Override
    public void released() {
        released.run();
    }

    @Override
    public void refused(long retryAfterNs) {
        if (retryAfterNs > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Seconds.format(retryAfterNs));
        }
        answer(REFUSED, new byte[0]);
    }

    @Override
    public void failed() {
        answer(FAILED, new byte[0]);
    }

    private void head(int status) {
        if (answered) {
            throw new IllegalStateException("answered twice");
        }
        answered = true;
        if (!exchange.isRequestComplete()) { // the rest of its body is not wanted
            unread.run();
            Connectors.terminateRequest(exchange);
            exchange.setPersistent(false);
        }
        exchange.setStatusCode(status);
        if (exchange.isPersistent()
                && closing.getAsBoolean()
                && !PipelinedBytes.isBehind(exchange, room)) {
            exchange.setPersistent(false);
        }
    }

    private void answer(int status, byte[] body) {
        head(status);
        if (plain && body.length == 0) {
            exchange.endExchange();
        } else {
            exchange.getResponseSender().send(ByteBuffer.wrap(body));
        }
        if (!exchange.isResponseComplete()) {
            loop.afterReading(
                    READ_WITHIN_NS,
                    () -> {
                        if (!exchange.isResponseComplete()) {
                            IoUtils.safeClose(exchange.getConnection());
                        }
                    });
        }
    }

    /**
     * Undertow reads nothing while a call is at work; a client that closes would go unnoticed. What
     * it may send ahead instead is handed back for the next calls.
     */
    void watchClient(Runnable whenGone) {
        if (answered) {
            return;
        }
        gone = whenGone;
        AbstractServerConnection connection = (AbstractServerConnection) exchange.getConnection();
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(channel -> readAhead(connection));
        connection.getOriginalSourceConduit().resumeReads();
    }

    @Override
    public void look() {
        if (gone != null && !answered) {
            readAhead((AbstractServerConnection) exchange.getConnection());
        }
    }

    /**
     * Reads on while a call is at work; what finds no room stays in the socket, and hides that its
     * client has left.
     */
    private void readAhead(AbstractServerConnection connection) {
        boolean open;
        try {
            open = PipelinedBytes.read(connection, room);
        } catch (IOException e) {
            open = false; // as good as closed
        }
        if (!open) {
            connection.getOriginalSourceConduit().suspendReads();
            if (!answered) {
                answered = true;
                gone.run();
            } else if (longAnswer != null) {
                longAnswer.clientGone();
            }
            IoUtils.safeClose(connection);
        }
    }
}
