package trailthread.lab.emulation;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.api.EndpointState;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.lab.fault.FaultTarget;
import trailthread.lab.invariant.InvariantChecker;
import trailthread.lab.model.ServerLimits;
import trailthread.lab.server.IncomingRequest;
import trailthread.lab.server.ServerProcess;

/**
 * A server on sockets: the server model of the simulation, driven by the real clock, that speaks
 * the server's side of the platform's protocol. It listens at a separate address for each node, so
 * that the invariant checker knows which node sends a request.
 */
final class EmulatedServer implements FaultTarget.Server {
    private static final Pattern WORK = Pattern.compile("[?&]work=([0-9]{1,15})\\b");
    private static final String GARBAGE =
            "HTTP/9 \u0001\u0002 wor\u00ffk\r\n\u0000\u0003: ;;\r\n\r\n\u00fe";
    private static final String UNPROCESSED = "X-Unprocessed: 1\r\n";
    private static final int TRICKLE_PIECES = 10;

    /** A copy of the response before, a rejection, and an error. */
    private static final int STRAY_KINDS = 3;

    final String name;
    final String zone;
    final int cell;
    private final Emulation emulation;
    private final ServerProcess process;
    private final List<RestartableListener> listeners = new ArrayList<>();
    private final Set<NodeConnection> connections = new HashSet<>();
    private final UniformRandomProvider strayRandom;
    EndpointState state = EndpointState.READY;

    /** Whether the connections are isolated; follows the isolation fault of the process. */
    private boolean connectionsIsolated;

    EmulatedServer(
            Emulation emulation,
            String name,
            String zone,
            int cell,
            ServerLimits limits,
            boolean cold)
            throws IOException {
        this.emulation = emulation;
        this.name = name;
        this.zone = zone;
        this.cell = cell;
        strayRandom = emulation.streams().stream("strays " + name);
        process =
                new ServerProcess(
                        emulation.eventQueue(),
                        emulation.streams(),
                        emulation.scenario().fleet(),
                        name,
                        limits,
                        cold,
                        () -> {
                            emulation.check(
                                    checker -> checker.coldServerOverloaded(emulation.now(), name));
                            stop();
                        });
        for (int i = 0; i < Math.max(1, emulation.nodeCount()); i++) {
            String node = "n" + i;
            listeners.add(
                    new RestartableListener(emulation.loop(), 0, channel -> accept(node, channel)));
        }
    }

    /** The address at which the node of this number reaches this server. */
    String hostPort(int node) {
        return listeners.get(Math.min(node, listeners.size() - 1)).hostPort();
    }

    private void accept(String node, SocketChannel channel) {
        try {
            if (connections.size() >= emulation.scenario().network().maxConnections()) {
                channel.close();
                return;
            }
            process.addBackgroundWork(emulation.scenario().network().connectionWorkNs());
            NodeConnection connection = new NodeConnection(node);
            connection.transport =
                    HttpMessageConnection.accepted(emulation.loop(), channel, connection);
            connection.transport.setIsolated(process.faults.isolated);
            connections.add(connection);
            if (strayRandom.nextDouble() < process.faults.greetingShare) {
                connection.transport.send(response("200 OK", null, "", "nobody"));
            }
        } catch (IOException e) {
            // the client has disconnected already
        }
    }

    /**
     * Applies the isolation fault of the process to its connections. When the isolation ends, older
     * connections are reset: bytes written to them meanwhile are still in the buffers of this
     * machine, while a real network would have lost them.
     */
    void applyIsolation() {
        if (process.faults.isolated == connectionsIsolated) {
            return;
        }
        connectionsIsolated = process.faults.isolated;
        for (NodeConnection connection : List.copyOf(connections)) {
            if (connectionsIsolated) {
                connection.transport.setIsolated(true);
            } else {
                connection.transport.reset();
                connection.ended();
            }
        }
    }

    /** Reads the connection of a request, to notice whether the node has closed it. */
    void readConnectionOf(String requestId) {
        List.copyOf(connections).stream()
                .filter(
                        connection ->
                                connection.currentRequest != null
                                        && connection.currentRequest.requestId.equals(requestId))
                .forEach(connection -> connection.transport.read());
    }

    @Override
    public String zone() {
        return zone;
    }

    @Override
    public boolean isReady() {
        return state == EndpointState.READY;
    }

    @Override
    public ServerProcess process() {
        return process;
    }

    @Override
    public void startDraining() {
        emulation.discovery().setState(this, EndpointState.DRAINING);
    }

    @Override
    public void stop() {
        for (RestartableListener listener : listeners) {
            try {
                listener.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
        process.stop();
        for (NodeConnection connection : List.copyOf(connections)) {
            connection.transport.reset();
            connection.ended();
        }
    }

    @Override
    public void restart() {
        try {
            for (RestartableListener listener : listeners) {
                listener.reopen();
            }
        } catch (IOException e) {
            throw new IllegalStateException(name + " can't listen on its port again", e);
        }
        process.start();
        emulation.discovery().setState(this, EndpointState.READY);
    }

    @Override
    public void replace() {
        emulation.discovery().setState(this, EndpointState.GONE);
        emulation.addServer(zone, Math.max(0, cell), true);
    }

    private static String loadJson(LoadReport load) {
        return String.format(
                Locale.ROOT, "{\"inflight\":%.2f,\"queue\":%.2f}", load.inflight(), load.queue());
    }

    private String response(String status, LoadReport load, String extraHeaders, String body) {
        return "HTTP/1.1 "
                + status
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n"
                + extraHeaders
                + (load == null ? "" : "X-Backend-Load: " + loadJson(load) + "\r\n")
                + "\r\n"
                + body;
    }

    /** A connection from a node. */
    private final class NodeConnection implements HttpMessageConnection.Listener {
        private final String node;
        private HttpMessageConnection transport;

        /** The request in progress, or null. */
        private ReceivedRequest currentRequest;

        /** Whether the last request asks for the end of the connection after its response. */
        private boolean lastRequest;

        NodeConnection(String node) {
            this.node = node;
        }

        @Override
        public void message(HttpMessage message) {
            if (currentRequest != null) {
                transport.reset(); // pipelined requests are not supported
                ended();
                return;
            }
            lastRequest = !message.keepsConnectionOpen();
            if (message.target().equals("/health") || message.target().equals("/status/load")) {
                emulation.metrics().recordHealthCheck();
                process.checkHealth(
                        () ->
                                sendWhole(
                                        response(
                                                "200 OK",
                                                null,
                                                "",
                                                loadJson(process.healthReport()))));
                return;
            }
            String id = message.header("x-correlation-id");
            Matcher work = WORK.matcher(message.target());
            if (id == null || !work.find()) {
                sendWhole(response("404 Not Found", null, "", ""));
                return;
            }
            int attempt = emulation.nextAttempt(id, EmulatedServer.this);
            currentRequest =
                    new ReceivedRequest(
                            this, id, attempt, Math.max(1, Double.parseDouble(work.group(1))));
            emulation.check(
                    checker ->
                            checker.attemptSent(
                                    transport.messageStartedAt(),
                                    id,
                                    attempt,
                                    node,
                                    new InvariantChecker.ServerLocation(name, zone, cell)));
            emulation.metrics().recordAttempt(emulation.servers().indexOf(EmulatedServer.this));
            process.receive(currentRequest);
        }

        @Override
        public void closed(String reason) {
            ended();
        }

        /** Removes this connection and cancels its request. */
        void ended() {
            connections.remove(this);
            if (currentRequest != null) {
                ReceivedRequest cancelled = currentRequest;
                currentRequest = null;
                process.cancelRequest(cancelled);
                emulation.check(
                        checker ->
                                checker.attemptEnded(
                                        emulation.now(),
                                        cancelled.requestId,
                                        cancelled.attempt,
                                        Outcome.CANCELLED));
            }
        }

        private void sendResponse(
                ReceivedRequest request, Outcome outcome, String text, long trickleNs) {
            currentRequest = null;
            emulation.check(
                    checker ->
                            checker.attemptEnded(
                                    emulation.now(), request.requestId, request.attempt, outcome));
            if (trickleNs == 0) {
                sendWhole(text);
                return;
            }
            int pieceLength = Math.max(1, text.length() / TRICKLE_PIECES);
            for (int from = 0, i = 0; from < text.length(); from += pieceLength, i++) {
                String part = text.substring(from, Math.min(text.length(), from + pieceLength));
                emulation
                        .eventQueue()
                        .scheduleAfter(trickleNs * i / TRICKLE_PIECES, () -> transport.send(part));
            }
            emulation.eventQueue().scheduleAfter(trickleNs, () -> responseSent(text));
        }

        private void sendWhole(String text) {
            transport.send(text);
            responseSent(text);
        }

        /** Ends the connection if the request asks for it; otherwise a stray may follow. */
        private void responseSent(String text) {
            if (lastRequest) {
                transport.closeWhenFlushed();
                connections.remove(this);
            } else if (strayRandom.nextDouble() < process.faults.strayShare) {
                String stray = strayAfter(text);
                long delayNs = (long) (strayRandom.nextDouble() * process.faults.maxStrayDelayNs);
                emulation.eventQueue().scheduleAfter(delayNs, () -> transport.send(stray));
            }
        }

        private String strayAfter(String text) {
            return switch (strayRandom.nextInt(STRAY_KINDS)) {
                case 0 -> text;
                case 1 -> response("503 Full", null, UNPROCESSED, "");
                default -> response("500 Failed", null, "", "");
            };
        }
    }

    /** A request that this server has received. */
    private final class ReceivedRequest implements IncomingRequest {
        private final NodeConnection connection;
        private final String requestId;
        private final int attempt;
        private final double work;

        ReceivedRequest(NodeConnection connection, String requestId, int attempt, double work) {
            this.connection = connection;
            this.requestId = requestId;
            this.attempt = attempt;
            this.work = work;
        }

        @Override
        public double work() {
            return work;
        }

        @Override
        public void accepted() {
            emulation.check(
                    checker -> checker.attemptAccepted(emulation.now(), requestId, attempt));
        }

        @Override
        public void respond(Response response, long trickleNs) {
            if (connection.currentRequest != this) {
                return;
            }
            LoadReport load = process.report();
            switch (response) {
                case OK ->
                        connection.sendResponse(
                                this,
                                Outcome.OK,
                                response(
                                        "200 OK",
                                        load,
                                        "",
                                        requestId + " " + name + " " + (long) work + "\n"),
                                trickleNs);
                case ERROR ->
                        connection.sendResponse(
                                this,
                                Outcome.ERROR,
                                response("500 Failed", load, "", ""),
                                trickleNs);
                case FULL ->
                        connection.sendResponse(
                                this,
                                Outcome.REJECTED,
                                response("503 Full", load, UNPROCESSED, ""),
                                trickleNs);
                case GARBAGE -> connection.sendResponse(this, Outcome.RESET, GARBAGE, 0);
                case RESET -> {
                    connection.transport.reset();
                    connection.ended();
                }
                default -> throw new IllegalStateException(response.name());
            }
        }

        @Override
        public void connectionBroken() {
            // stop() resets all connections
        }
    }
}
