package trailthread.daemon.listener;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.function.BooleanSupplier;
import trailthread.daemon.listener.RequestFrontend.DecodedHead;
import trailthread.daemon.listener.RequestFrontend.Handler;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.quota.MemoryBudget;
import trailthread.engine.request.ClientRequest;

/**
 * Receives clients' requests: decodes their heads with the frontend, reads their bodies, and passes
 * them to their handlers or rejects them.
 */
final class RequestReceiver implements HttpHandler {
    /** The share of the heap for messages; the rest is for lists, connections and statistics. */
    private static final double MESSAGES_HEAP_SHARE = 0.45;

    private final EventLoop loop;
    private final ClientConnections connections;
    private final MetricsRecorder metrics;
    private final BooleanSupplier isReady;
    private final MemoryBudget budget =
            new MemoryBudget((long) (MESSAGES_HEAP_SHARE * Runtime.getRuntime().maxMemory()));
    private RequestFrontend frontend;

    RequestReceiver(
            EventLoop loop,
            ClientConnections connections,
            RequestFrontend frontend,
            BooleanSupplier isReady,
            MetricsRecorder metrics) {
        this.loop = loop;
        this.connections = connections;
        this.frontend = frontend;
        this.isReady = isReady;
        this.metrics = metrics;
    }

    /**
     * Replaces the frontend. A request whose body is still being read is decoded again with the new
     * one when it is complete.
     */
    void setFrontend(RequestFrontend frontend) {
        this.frontend = frontend;
    }

    long messageMemoryBytes() {
        return budget.reservedBytes();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long deadlineWithoutBody = track(exchange);
        if (exchange.getRequestURI().equals(frontend.readyPath())) {
            exchange.setStatusCode(
                    isReady.getAsBoolean() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
            exchange.setPersistent(exchange.isPersistent() && !isLastOnConnection(exchange));
            return;
        }
        PendingRequest pending = new PendingRequest(exchange, deadlineWithoutBody);
        if (exchange.getRequestContentLength() > BodyReader.MAX_BODY_BYTES) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, pending::rejectTooLarge);
            return;
        }
        pending.reserveMemory();
        exchange.dispatch(SameThreadExecutor.INSTANCE, pending::readBody);
    }

    /**
     * Tracks the connection's state; returns the message's deadline without the time for its body.
     */
    private long track(HttpServerExchange exchange) {
        ClientConnection client = ClientConnection.fromExchange(exchange);
        long deadlineWithoutBody = connections.headArrived(client);
        exchange.addExchangeCompleteListener(
                (completed, next) ->
                        runInTurn(
                                completed,
                                () -> {
                                    connections.responseWritten(client, exchange.isPersistent());
                                    next.proceed();
                                }));
        return deadlineWithoutBody;
    }

    /**
     * Runs a task after a response, which lets the next request of the connection begin. If that is
     * pipelined, the sockets that are ready have their turn first: Undertow would serve all that a
     * client has pipelined before the next poll.
     */
    private void runInTurn(HttpServerExchange exchange, Runnable task) {
        if (PipelinedBytes.isEmpty(exchange)) {
            task.run();
        } else {
            loop.afterSockets(task);
        }
    }

    /** Whether the connection is closed after this response. */
    private boolean isLastOnConnection(HttpServerExchange exchange) {
        return connections.shouldCloseAfterResponse(ClientConnection.fromExchange(exchange))
                && !PipelinedBytes.hasPipelined(exchange, budget);
    }

    private static int statusCode(RejectionReason reason) {
        return switch (reason) {
            case BAD_REQUEST -> StatusCodes.BAD_REQUEST;
            case TOO_LARGE -> StatusCodes.REQUEST_ENTITY_TOO_LARGE;
            case CONFLICT -> StatusCodes.CONFLICT;
            case NO_ROUTE -> StatusCodes.NOT_FOUND;
        };
    }

    /** A request whose head was decoded, and whose body is being read. */
    private final class PendingRequest implements BodyReader.Receiver {
        private final HttpServerExchange exchange;
        private final long deadlineWithoutBody;
        private final RequestFrontend decodedBy;
        private DecodedHead head;

        /** Bytes that the handler has reserved for the body, or {@link Handler#NOT_RESERVED}. */
        private long reservedBytes = Handler.NOT_RESERVED;

        private BodyReader bodyReader;

        /** What is reserved of the budget; nothing if the body is discarded. */
        private RequestMemory memory = RequestMemory.none(budget);

        PendingRequest(HttpServerExchange exchange, long deadlineWithoutBody) {
            this.exchange = exchange;
            this.deadlineWithoutBody = deadlineWithoutBody;
            decodedBy = frontend;
            head = decodedBy.decode(exchange);
        }

        /** Reserves memory for the request, if it has a handler. */
        void reserveMemory() {
            if (head.request() == null) {
                return;
            }
            RequestMemory admitted =
                    RequestMemory.tryAdmit(budget, exchange.getRequestContentLength());
            if (admitted == null) {
                return;
            }
            memory = admitted;
            ClientConnection.fromExchange(exchange).setOnRequestEnd(memory::connectionEnded);
            reserveFromHandler();
        }

        private void reserveFromHandler() {
            long bytes = bodyReservation(exchange);
            reservedBytes = head.handler().reserveBody(bytes) ? bytes : Handler.NOT_RESERVED;
        }

        void readBody() {
            boolean buffered = reservedBytes != Handler.NOT_RESERVED;
            startReader(buffered);
            bodyReader.read();
        }

        private void startReader(boolean buffered) {
            bodyReader =
                    new BodyReader(loop, exchange, deadlineWithoutBody, buffered, memory, this);
        }

        void rejectTooLarge() {
            startReader(false);
            reject(RejectionReason.TOO_LARGE);
        }

        @Override
        public boolean canRespondBeforeEnd() {
            return head.request() != null;
        }

        @Override
        public void complete(byte[] body) {
            if (decodedBy != frontend) {
                decodeAgain();
            }
            RejectionReason rejection = rejection(body);
            if (rejection == null) {
                handle(head.request().withBody(body));
                return;
            }
            releaseReservation();
            reject(rejection);
        }

        /**
         * Rejects the request. Unless only a route is missing, this closes the connection, as the
         * bytes that follow may not start with a request.
         */
        private void reject(RejectionReason reason) {
            metrics.requestRejected(reason);
            exchange.setStatusCode(statusCode(reason));
            if (reason != RejectionReason.NO_ROUTE || isLastOnConnection(exchange)) {
                exchange.setPersistent(false);
            }
            if (exchange.isRequestComplete()) {
                exchange.endExchange();
            } else {
                bodyReader.discardRest();
                HttpResponseWriter.sendBeforeBodyEnds(loop, exchange, memory, BodyBuffer.EMPTY);
            }
        }

        /** Decodes the head again after the frontend was replaced while the body was read. */
        private void decodeAgain() {
            releaseReservation();
            head = frontend.decode(exchange);
            boolean discarded = reservedBytes == Handler.NOT_RESERVED;
            reservedBytes = Handler.NOT_RESERVED;
            if (!discarded && head.request() != null) {
                reserveFromHandler();
            }
        }

        private RejectionReason rejection(byte[] body) {
            if (head.request() == null) {
                return head.rejection();
            }
            if (body == null) {
                return RejectionReason.TOO_LARGE;
            }
            return isDuplicate() ? RejectionReason.CONFLICT : null;
        }

        /**
         * Whether an endpoint could mistake this request for one in flight, which has the same id.
         */
        private boolean isDuplicate() {
            return head.handler().isInFlight(head.request().id());
        }

        private void handle(ClientRequest request) {
            HttpResponseWriter response = responseWriter(request.body().length);
            // The time left counts from the request's last byte, which may have arrived while the
            // loop was late, or while the connection waited to be accepted.
            long arrivedAt = ClientConnection.fromExchange(exchange).arrivedNotBefore();
            long deadline = arrivedAt + request.timeLeftNs();
            Runnable onDisconnect =
                    head.handler().handle(request, deadline, response, reservedBytes);
            response.watchForDisconnect(onDisconnect);
        }

        @Override
        public void stream() {
            if (isDuplicate()) {
                releaseReservation();
                reject(RejectionReason.CONFLICT);
                return;
            }
            HttpResponseWriter response = responseWriter(0);
            ClientRequest request = head.request().withBodySource(bodyReader);
            long deadline = loop.now() + bodyReader.maxRemainingNs() + request.timeLeftNs();
            Runnable onDisconnect =
                    head.handler().handle(request, deadline, response, reservedBytes);
            bodyReader.setStreamCallbacks(
                    () -> response.watchForDisconnect(onDisconnect), onDisconnect);
        }

        @Override
        public void aborted() {
            releaseReservation();
        }

        private HttpResponseWriter responseWriter(long bodyBytes) {
            memory.engineStarts(bodyBytes);
            ClientConnection.fromExchange(exchange).setOwner(head.handler().owner());
            return new HttpResponseWriter(
                    loop,
                    exchange,
                    head.forwardsEndpointHeaders(),
                    () -> isLastOnConnection(exchange),
                    budget,
                    memory,
                    bodyReader::discardRest);
        }

        private void releaseReservation() {
            if (reservedBytes > 0 && head.request() != null) {
                head.handler().releaseBody(reservedBytes);
            }
        }
    }

    /** The bytes to reserve for a body that is not read yet: its length, if that is declared. */
    private static long bodyReservation(HttpServerExchange exchange) {
        long length = exchange.getRequestContentLength();
        if (length >= 0) {
            return length;
        }
        boolean hasBody = exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING);
        return hasBody ? RequestMemory.SHORT_BODY_BYTES : 0;
    }
}
