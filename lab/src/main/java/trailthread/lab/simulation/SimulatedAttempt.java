package trailthread.lab.simulation;

import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.lab.event.EventQueue;
import trailthread.lab.server.IncomingRequest;

/** One attempt of a node at a server, in virtual time. */
final class SimulatedAttempt implements IncomingRequest {
    final SimulatedRequest request;
    final int number;
    final SimulatedServer server;
    private final Simulation simulation;
    private final SimulatedNode node;
    private final long sentAt;
    private EventQueue.Entry timeout;
    private boolean ended;

    /** Whether the attempt holds a connection to the incarnation {@code serverIncarnation}. */
    private boolean connected;

    private int serverIncarnation;
    private boolean requestWritten;

    /** Whether the attempt counts in {@link SimulatedServer#arriving}. */
    private boolean arriving = true;

    SimulatedAttempt(
            Simulation simulation,
            SimulatedNode node,
            SimulatedRequest request,
            int number,
            SimulatedServer server) {
        this.simulation = simulation;
        this.node = node;
        this.request = request;
        this.number = number;
        this.server = server;
        this.sentAt = simulation.now();
        this.serverIncarnation = server.process().incarnation();
        server.arriving++;
    }

    /** Sends the attempt, with a timeout in ns. */
    void send(long timeoutNs) {
        timeout =
                simulation
                        .eventQueue()
                        .scheduleAfter(
                                timeoutNs, () -> node.deliver(() -> giveUp(Outcome.TIMEOUT)));
        if (node.takeIdleConnection(server)) {
            connected = true;
            write();
        } else {
            connect();
        }
    }

    private void connect() {
        simulation.metrics().recordConnection();
        simulation
                .eventQueue()
                .scheduleAfter(
                        simulation.network().connectTimeoutNs(),
                        () ->
                                node.deliver(
                                        () -> {
                                            if (!connected) {
                                                end(Outcome.CONNECT_FAILED, null);
                                            }
                                        }));
        simulation.transmit(
                node,
                server,
                () -> {
                    boolean accepted = server.acceptConnection();
                    serverIncarnation = server.process().incarnation();
                    simulation.transmit(
                            server,
                            node,
                            () -> {
                                if (ended && accepted) {
                                    server.connectionClosed(serverIncarnation);
                                } else if (accepted) {
                                    connected = true;
                                    write();
                                } else {
                                    end(Outcome.CONNECT_FAILED, null);
                                }
                            });
                });
    }

    private void write() {
        requestWritten = true;
        simulation.transmit(
                node,
                server,
                () -> {
                    if (ended) {
                        return; // its connection was closed before the request arrived
                    }
                    noLongerArriving();
                    if (server.process().isUp()
                            && server.process().incarnation() == serverIncarnation) {
                        server.process().receive(this);
                    } else {
                        simulation.transmit(server, node, () -> end(Outcome.RESET, null));
                    }
                });
    }

    private void noLongerArriving() {
        if (arriving) {
            arriving = false;
            server.arriving--;
        }
    }

    @Override
    public double work() {
        return request.operation.work();
    }

    @Override
    public void accepted() {
        simulation.checker().attemptAccepted(simulation.now(), request.name, number);
    }

    @Override
    public void respond(Response response, long trickleNs) {
        if (server.process().incarnation() != serverIncarnation || ended) {
            return;
        }
        if (response == Response.RESET || response == Response.GARBAGE) {
            server.connectionClosed(serverIncarnation);
            connectionBroken();
            return;
        }
        LoadReport load = server.process().report();
        simulation
                .eventQueue()
                .scheduleAfter(
                        trickleNs,
                        () ->
                                simulation.transmit(
                                        server,
                                        node,
                                        () -> {
                                            if (!ended) {
                                                node.keepIdleConnection(server, serverIncarnation);
                                                connected = false;
                                                end(
                                                        response == Response.OK
                                                                ? Outcome.OK
                                                                : response == Response.FULL
                                                                        ? Outcome.REJECTED
                                                                        : Outcome.ERROR,
                                                        load);
                                            }
                                        }));
    }

    @Override
    public void connectionBroken() {
        simulation.transmit(server, node, () -> end(Outcome.RESET, null));
    }

    /** The node stops waiting for the response. */
    void giveUp(Outcome outcome) {
        if (!ended) {
            boolean hadConnection = connected;
            end(
                    !requestWritten && outcome == Outcome.TIMEOUT
                            ? Outcome.CONNECT_FAILED
                            : outcome,
                    null);
            if (hadConnection) {
                closeConnection();
            }
        }
    }

    private void closeConnection() {
        int closedIncarnation = serverIncarnation;
        simulation.transmit(
                node,
                server,
                () -> {
                    server.connectionClosed(closedIncarnation);
                    server.process().cancelRequest(this);
                });
    }

    private void end(Outcome outcome, LoadReport load) {
        if (!ended) {
            ended = true;
            noLongerArriving();
            timeout.cancel();
            node.attemptEnded(this, outcome, simulation.now() - sentAt, load);
        }
    }

    /** The node was killed, so the operating system closes the connection. */
    void nodeKilled() {
        ended = true;
        noLongerArriving();
        timeout.cancel();
        if (connected) {
            closeConnection();
        }
    }
}
