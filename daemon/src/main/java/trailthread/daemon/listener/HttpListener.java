package trailthread.daemon.listener;

import io.undertow.UndertowOptions;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.InheritedTcpServer;
import trailthread.daemon.listener.RequestFrontend.Incoming;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.request.ClientRequest;

/** The clients' side: HTTP connections in, calls out to who takes them, its replies back. */
public final class HttpListener {
    private static final int MOST_HEADER_BYTES = 16 * 1024;
    private static final int BACKLOG = 1024;

    /** Of the heap, most of whose old generation they may fill. */
    private static final double BODIES_SHARE = 0.3;

    /** A loop that has run late by so much may have left connections waiting to be accepted. */
    private static final long LATE_NS = 10_000_000L;

    private static final long ACCEPTED_WITHIN_NS = 100_000_000L;
    private static final long HANDED_OVER_WITHIN_NS = 20_000_000L;

    private final EventLoop loop;
    private final ClientConnections connections;
    private final BodyMemoryLimit bodies =
            new BodyMemoryLimit((long) (BODIES_SHARE * Runtime.getRuntime().maxMemory()));
    private final int mostConnections;
    private final MetricsRecorder meter;
    private RequestFrontend front;
    private AcceptingChannel<StreamConnection> server;

    /** Other processes hold the listening socket, too. */
    private boolean shared;

    private boolean ready;
    private boolean drained;

    /**
     * @param mostConnections past these, further ones wait to be accepted
     * @param clientsMayHold how many clients with calls may hold; idle ones make room by shares of
     *     it
     */
    public HttpListener(
            EventLoop loop,
            int mostConnections,
            int clientsMayHold,
            RequestFrontend front,
            MetricsRecorder meter) {
        this.meter = meter;
        this.loop = loop;
        this.mostConnections = mostConnections;
        this.connections = new ClientConnections(loop, clientsMayHold);
        this.front = front;
    }

    /** Opens an address for clients, and says which. */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        server = loop.worker().createStreamConnectionServer(address, accept(), options());
        server.resumeAccepts();
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /**
     * Accepts from a listening socket that other processes hold, too, in place of the address
     * opened before. It is never closed here: with the one that the process was given, Java would
     * close its log.
     */
    public void share(ServerSocketChannel given) throws IOException {
        IoUtils.safeClose(server);
        server = InheritedTcpServer.on(given, loop.worker(), accept(), options());
        shared = true;
        server.resumeAccepts();
    }

    /**
     * If others accept from the same socket, leaves all further connections to them; whether it
     * does.
     */
    public boolean leavesToOthers() {
        if (shared) {
            server.suspendAccepts();
        }
        return shared;
    }

    private OptionMap options() {
        return OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, mostConnections)
                .set(Options.CONNECTION_LOW_WATER, mostConnections)
                .getMap();
    }

    private ChannelListener<AcceptingChannel<StreamConnection>> accept() {
        HttpOpenListener http =
                new HttpOpenListener(
                        loop.buffers(),
                        OptionMap.builder()
                                .set(UndertowOptions.MAX_HEADER_SIZE, MOST_HEADER_BYTES)
                                .set(
                                        UndertowOptions.MAX_ENTITY_SIZE,
                                        -1L) // BodyReader holds the bound
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                                .set(UndertowOptions.DECODE_URL, false)
                                .getMap());
        http.setRootHandler(this::handle);
        return ChannelListeners.openListenerAdapter(
                connection -> loop.run(() -> opened(connection, http)));
    }

    private void opened(StreamConnection connection, HttpOpenListener http) {
        ClientConnection client = connections.opened(connection);
        connection.setCloseListener(ended -> connections.closed(client));
        http.handleEvent(connection);
    }

    /** Who reads what comes from now on; what was read before is taken as it was meant then. */
    public void setFront(RequestFrontend front) {
        this.front = front;
    }

    /** Whether the front may send clients here. */
    public boolean isReady() {
        return ready && !drained;
    }

    /** Whether the front is to send no clients, ready or not. */
    public void setDrained(boolean drained) {
        this.drained = drained;
    }

    /**
     * Ends connections that carry no call, without loss; what has just connected has time to speak.
     */
    public void endUnused() {
        connections.endUnused();
    }

    /** How many connections there are in each state. */
    public Map<String, Integer> connections() {
        return connections.byState();
    }

    /** Whether the front may send clients here. */
    public void setReady(boolean ready) {
        this.ready = ready;
    }

    /**
     * Whether each connection ends with its next answer from now on, so that clients go elsewhere.
     */
    public void endWithAnswers(boolean end) {
        connections.endWithAnswers(end);
    }

    /**
     * Takes no further connections; those open end, after the call that they carry.
     *
     * @param whenDone runs when none is left
     */
    public void close(Runnable whenDone) {
        // Guards the calls of those that have connected and were not accepted yet, as the thread
        // that accepts
        // runs late as well: with the listening socket, their connections would be reset.
        boolean late = loop.turns().latenessNs(System.nanoTime()) > LATE_NS;
        loop.after(
                late ? ACCEPTED_WITHIN_NS : 0,
                () -> {
                    if (!leavesToOthers()) {
                        IoUtils.safeClose(server);
                    }
                    // What the thread that accepts has handed over last is not opened here yet.
                    loop.after(
                            HANDED_OVER_WITHIN_NS,
                            () -> loop.afterSockets(() -> connections.endAll(whenDone)));
                });
    }

    private void handle(HttpServerExchange exchange) {
        long owedBy = track(exchange);
        if (exchange.getRequestURI().equals(front.readyPath())) {
            exchange.setStatusCode(isReady() ? 200 : 503);
            exchange.setPersistent(exchange.isPersistent() && !isLast(exchange));
            return;
        }
        RequestFrontend readBy = front;
        Incoming incoming = front.read(exchange);
        if (exchange.getRequestContentLength()
                > BodyReader.MOST_BYTES) { // nothing says that it is to be sent
            Connectors.terminateRequest(exchange); // too much to read past
            reject(exchange, RejectionReason.TOO_LARGE);
            return;
        }
        long kept = incoming.call() == null ? -1 : keptFor(exchange, incoming.taker());
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> {
                    new BodyReader(
                                    loop,
                                    exchange,
                                    owedBy,
                                    kept >= 0,
                                    bodies,
                                    body -> {
                                        if (readBy == front) {
                                            whole(exchange, incoming, body, kept);
                                        } else { // what takes it now is not what took it when its
                                            // head came
                                            giveUp(incoming, kept);
                                            Incoming again = front.read(exchange);
                                            whole(
                                                    exchange,
                                                    again,
                                                    body,
                                                    again.call() == null
                                                            ? 0
                                                            : kept < 0
                                                                    ? kept
                                                                    : keptFor(
                                                                            exchange,
                                                                            again.taker()));
                                        }
                                    },
                                    body -> passOn(exchange, incoming, body, kept),
                                    () -> giveUp(incoming, kept))
                            .read();
                });
    }

    /** A call is taken whose body finds no room: it goes on as it comes. */
    private void passOn(
            HttpServerExchange exchange, Incoming incoming, BodyReader body, long kept) {
        if (incoming.taker().isOpen(incoming.call().id())) {
            body.stop();
            giveUp(incoming, kept);
            Connectors.terminateRequest(exchange);
            reject(exchange, RejectionReason.CONFLICT);
            return;
        }
        HttpResponseWriter reply = reply(exchange, incoming, 0, body::stop);
        Runnable gone =
                incoming.taker()
                        .take(
                                incoming.call().withSource(body),
                                loop.now() + body.longestNs() + incoming.call().timeLeftNs(),
                                reply,
                                kept);
        body.passOn(() -> reply.watchClient(gone), gone);
    }

    private HttpResponseWriter reply(
            HttpServerExchange exchange, Incoming incoming, long room, Runnable unread) {
        ClientConnection client = ClientConnection.of(exchange);
        client.setOwner(incoming.taker().owner());
        return new HttpResponseWriter(
                loop,
                exchange,
                incoming.plain(),
                () -> connections.endsWithAnswer(client),
                bodies,
                () -> bodies.give(room),
                unread);
    }

    private void whole(HttpServerExchange exchange, Incoming incoming, byte[] body, long kept) {
        RejectionReason why =
                incoming.call() == null
                        ? incoming.why()
                        : body == null
                                ? RejectionReason.TOO_LARGE
                                // the endpoint would take it for a copy
                                : incoming.taker().isOpen(incoming.call().id())
                                        ? RejectionReason.CONFLICT
                                        : null;
        if (why == null) {
            take(exchange, incoming, incoming.call().withBody(body), kept);
        } else {
            giveUp(incoming, kept);
            if (body != null) {
                bodies.give(BodyReader.roomFor(body.length));
            }
            reject(exchange, why);
        }
    }

    /** Whether the connection ends with this answer. */
    private boolean isLast(HttpServerExchange exchange) {
        return connections.endsWithAnswer(ClientConnection.of(exchange))
                && !PipelinedBytes.isBehind(exchange, bodies);
    }

    /** How many bytes are kept for a body that is still to come; -1: there is no room for it. */
    private static long keptFor(HttpServerExchange exchange, RequestFrontend.Taker taker) {
        long length = exchange.getRequestContentLength();
        boolean bare =
                length < 0 && !exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING);
        long bytes = bare ? 0 : length < 0 ? BodyMemoryLimit.SHORT_BYTES : length;
        return taker.takeBody(bytes) ? bytes : -1;
    }

    private static void giveUp(Incoming incoming, long kept) {
        if (kept > 0 && incoming.call() != null) {
            incoming.taker().giveBody(kept);
        }
    }

    /** Says by when the whole message is owed. */
    private long track(HttpServerExchange exchange) {
        ClientConnection client = ClientConnection.of(exchange);
        long owedBy = connections.began(client);
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    connections.ended(client, exchange.isPersistent());
                    next.proceed();
                });
        return owedBy;
    }

    private void take(
            HttpServerExchange exchange, Incoming incoming, ClientRequest call, long kept) {
        HttpResponseWriter reply =
                reply(exchange, incoming, BodyReader.roomFor(call.body().length), () -> {});
        // The client waits from its last byte on, however long it took to send the rest, and this
        // loop to read it.
        reply.watchClient(
                incoming.taker().take(call, loop.cameNotBefore() + call.timeLeftNs(), reply, kept));
    }

    /**
     * Answers what is no call; but for one that only has no route, the connection ends, as what
     * follows on it can't be trusted.
     */
    private void reject(HttpServerExchange exchange, RejectionReason why) {
        meter.rejected(why);
        int status =
                switch (why) {
                    case BAD_REQUEST -> StatusCodes.BAD_REQUEST;
                    case TOO_LARGE -> StatusCodes.REQUEST_ENTITY_TOO_LARGE;
                    case CONFLICT -> StatusCodes.CONFLICT;
                    case NO_ROUTE -> StatusCodes.NOT_FOUND;
                };
        exchange.setStatusCode(status);
        if (why != RejectionReason.NO_ROUTE || isLast(exchange)) {
            exchange.setPersistent(false);
        }
        exchange.endExchange();
    }
}
