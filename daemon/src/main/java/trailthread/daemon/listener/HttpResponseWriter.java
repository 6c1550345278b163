package trailthread.daemon.listener;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.xnio.IoUtils;
import trailthread.daemon.listener.PipelinedBytes.ReadResult;
import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.http.ByteSink;
import trailthread.engine.http.EndToEndHeaders;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.loop.Seconds;
import trailthread.engine.quota.MemoryBudget;
import trailthread.engine.quota.MemoryBudget.Use;
import trailthread.engine.request.ClientResponse;

/** Writes the response to one request over HTTP, and detects when its client disconnects. */
final class HttpResponseWriter implements ClientResponse {
    /** Headers of endpoints' responses that only the balancer uses. */
    private static final Set<String> NOT_FORWARDED = Set.of("x-backend-load", "x-unprocessed");

    private static final byte[] NO_BODY = new byte[0];

    private final EventLoop loop;
    private final HttpServerExchange exchange;
    private final boolean forwardsEndpointHeaders;
    private final BooleanSupplier isLastOnConnection;
    private final MemoryBudget budget;
    private final RequestMemory memory;
    private final Runnable discardBody;

    /** The response has started, or the client disconnected before it could. */
    private boolean respondedOrDisconnected;

    /** Runs if the client disconnects; null before {@link #watchForDisconnect}. */
    private Runnable onDisconnect;

    /** Null unless the response is streamed. */
    private StreamedResponse streamed;

    /**
     * Makes a writer for an exchange.
     *
     * @param forwardsEndpointHeaders whether the client gets the endpoint's headers
     * @param isLastOnConnection whether the connection is closed after this response
     * @param budget where memory is reserved for pipelined bytes that exceed a pooled buffer
     * @param memory what the request and this response hold of the budget
     * @param discardBody runs before a response to a request whose body is incomplete: reads the
     *     rest of it
     */
    HttpResponseWriter(
            EventLoop loop,
            HttpServerExchange exchange,
            boolean forwardsEndpointHeaders,
            BooleanSupplier isLastOnConnection,
            MemoryBudget budget,
            RequestMemory memory,
            Runnable discardBody) {
        this.loop = loop;
        this.exchange = exchange;
        this.forwardsEndpointHeaders = forwardsEndpointHeaders;
        this.isLastOnConnection = isLastOnConnection;
        this.budget = budget;
        this.memory = memory;
        this.discardBody = discardBody;
    }

    @Override
    public void respond(EndpointResponse response) {
        forwardHeaders(response);
        send(response.status(), response.body());
    }

    @Override
    public ByteSink beginStreaming(
            EndpointResponse head, long length, Runnable onWritable, Runnable onDisconnect) {
        forwardHeaders(head);
        start(head.status());
        setFraming(length);
        streamed =
                new StreamedResponse(
                        loop, exchange, memory.reservation(), onWritable, onDisconnect);
        return streamed;
    }

    /**
     * Frames a streamed body so that the client can tell whether it is complete. Undertow itself
     * would let the end of a connection that is not kept open end the body (RFC 9112, 6.3).
     *
     * @param length the length of the body in bytes; -1: not known
     */
    private void setFraming(long length) {
        if (length >= 0) {
            exchange.setResponseContentLength(length);
        } else if (exchange.isHttp11()) {
            exchange.getResponseHeaders()
                    .put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
    }

    private void forwardHeaders(EndpointResponse response) {
        HeaderMap from = response.headers();
        if (from == null || !forwardsEndpointHeaders) {
            return;
        }
        HeaderMap to = exchange.getResponseHeaders();
        // The result is not needed: forwarding stops before a header that could be taken for the
        // start of another response, and endpoints have not been seen to send such headers.
        EndToEndHeaders.forward(from, NOT_FORWARDED, to::add);
        to.add(Headers.VIA, "1.1 trailthread");
        String length = from.getFirst(Headers.CONTENT_LENGTH);
        if (exchange.getRequestMethod().equals(Methods.HEAD) && length != null) {
            to.put(Headers.CONTENT_LENGTH, length);
        }
    }

    @Override
    public boolean tryReserveMemory(long bytes) {
        return memory.reservation().tryGrow(Use.RESPONSE, bytes);
    }

    @Override
    public void releaseMemory(long bytes) {
        memory.reservation().shrink(bytes);
    }

    @Override
    public void onBodyReleased() {
        memory.bodyReleased();
    }

    @Override
    public void onReleased() {
        memory.engineEnded();
    }

    @Override
    public void reject(long retryAfterNs) {
        if (retryAfterNs > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Seconds.format(retryAfterNs));
        }
        send(StatusCodes.SERVICE_UNAVAILABLE, NO_BODY);
    }

    @Override
    public void fail() {
        send(StatusCodes.BAD_GATEWAY, NO_BODY);
    }

    private void start(int status) {
        if (respondedOrDisconnected) {
            throw new IllegalStateException("a request must have one response");
        }
        respondedOrDisconnected = true;
        if (!exchange.isRequestComplete()) {
            discardBody.run();
            exchange.setPersistent(false);
        }
        exchange.setStatusCode(status);
        if (exchange.isPersistent() && isLastOnConnection.getAsBoolean()) {
            exchange.setPersistent(false);
        }
    }

    private void send(int status, byte[] body) {
        boolean bodyIncomplete = !exchange.isRequestComplete();
        start(status);
        if (bodyIncomplete) {
            sendBeforeBodyEnds(loop, exchange, memory, body);
            return;
        }
        if (forwardsEndpointHeaders && body.length == 0) {
            exchange.endExchange();
        } else {
            exchange.getResponseSender().send(ByteBuffer.wrap(body));
        }
        if (!exchange.isResponseComplete()) {
            new ResponseReadTimeout(loop, new UnreadResponse());
        }
    }

    /**
     * Sends a response while the request's body is still arriving. Undertow's own sender would wait
     * for the end of that body, or not read it.
     */
    static void sendBeforeBodyEnds(
            EventLoop loop, HttpServerExchange exchange, RequestMemory memory, byte[] body) {
        exchange.setResponseContentLength(body.length);
        StreamedResponse response =
                new StreamedResponse(loop, exchange, memory.reservation(), () -> {}, () -> {});
        response.writePiece(ByteBuffer.wrap(body));
        response.endBody();
    }

    /** A response that Undertow writes as the client reads it, behind earlier responses. */
    private final class UnreadResponse implements ResponseReadTimeout.PendingResponse {
        @Override
        public boolean hasEnded() {
            return exchange.isResponseComplete() || !connection().isOpen();
        }

        @Override
        public boolean hasUnwritten() {
            return true;
        }

        @Override
        public long writtenBytes() {
            return exchange.getResponseBytesSent();
        }

        @Override
        public void offerUnwritten() {
            connection().getChannel().getSinkChannel().wakeupWrites();
        }

        @Override
        public void readTimedOut() {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /**
     * Detects a disconnect while the request is in flight, when Undertow does not read from the
     * connection. Pipelined bytes are kept for the client's next requests.
     *
     * @param onDisconnect runs if the client disconnects before the response has started
     */
    void watchForDisconnect(Runnable onDisconnect) {
        if (respondedOrDisconnected) {
            return;
        }
        this.onDisconnect = onDisconnect;
        AbstractServerConnection connection = connection();
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(
                        channel -> readPipelined(connection, EventLoop.MAX_BYTES_PER_PASS));
        connection.getOriginalSourceConduit().resumeReads();
    }

    @Override
    public boolean checkConnected() {
        if (onDisconnect == null || respondedOrDisconnected) {
            return true;
        }
        return readPipelined(connection(), Integer.MAX_VALUE) != ReadResult.MORE_TO_READ;
    }

    private AbstractServerConnection connection() {
        return (AbstractServerConnection) exchange.getConnection();
    }

    /**
     * Reads pipelined bytes. If there is no memory for them, they stay in the socket, and a
     * disconnect behind them is not detected.
     */
    private ReadResult readPipelined(AbstractServerConnection connection, int limitBytes) {
        ReadResult result;
        try {
            result = PipelinedBytes.read(connection, budget, limitBytes);
        } catch (IOException e) {
            result = ReadResult.CLOSED; // a connection that can't be read counts as closed
        }
        if (result == ReadResult.CLOSED) {
            handleDisconnect(connection);
        }
        return result;
    }

    private void handleDisconnect(AbstractServerConnection connection) {
        connection.getOriginalSourceConduit().suspendReads();
        if (!respondedOrDisconnected) {
            respondedOrDisconnected = true;
            onDisconnect.run();
        } else if (streamed != null) {
            streamed.handleDisconnect();
        }
        IoUtils.safeClose(connection);
    }
}
