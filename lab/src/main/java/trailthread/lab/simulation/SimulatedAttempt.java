package trailthread.lab.simulation;

import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.lab.event.EventQueue;
import trailthread.lab.server.IncomingRequest;

/** One attempt of a call, from its node to a server and back, in virtual time. */
final class SimulatedAttempt implements IncomingRequest {
    final SimulatedRequest request;
    final int number;
    final SimulatedServer server;
    private final Simulation simulation;
    private final SimulatedNode node;
    private final long sentAt;
    private EventQueue.Entry timeout;
    private boolean ended;

    /** It has a connection, of this life of its server. */
    private boolean connected;

    private int incarnation;
    private boolean written;

    /** It counts among those that are on their way. */
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
        this.incarnation = server.process().incarnation();
        server.arriving++;
    }

    /** Begins it; it is given up after this time, in ns. */
    void send(long withinNs) {
        timeout =
                simulation
                        .eventQueue()
                        .scheduleAfter(withinNs, () -> node.deliver(() -> giveUp(Outcome.TIMEOUT)));
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
        simulation.travel(
                node,
                server,
                () -> {
                    boolean accepted = server.acceptConnection();
                    incarnation = server.process().incarnation();
                    simulation.travel(
                            server,
                            node,
                            () -> {
                                if (ended && accepted) {
                                    server.connectionClosed(incarnation);
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
        written = true;
        simulation.travel(
                node,
                server,
                () -> {
                    if (ended) {
                        return; // the connection was closed on it
                    }
                    noLongerArriving();
                    if (server.process().isUp() && server.process().incarnation() == incarnation) {
                        server.process().receive(this);
                    } else {
                        simulation.travel(server, node, () -> end(Outcome.RESET, null));
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
    public void executionStarted() {
        simulation.checker().executionStarted(simulation.now(), request.name, number);
    }

    @Override
    public void respond(Response answer, long trickleNs) {
        if (server.process().incarnation() != incarnation || ended) {
            return;
        }
        if (answer == Response.RESET || answer == Response.GARBAGE) {
            server.connectionClosed(incarnation);
            connectionBroken();
            return;
        }
        LoadReport load = server.process().report();
        simulation
                .eventQueue()
                .scheduleAfter(
                        trickleNs,
                        () ->
                                simulation.travel(
                                        server,
                                        node,
                                        () -> {
                                            if (!ended) {
                                                node.keepIdleConnection(server, incarnation);
                                                connected = false;
                                                end(
                                                        answer == Response.OK
                                                                ? Outcome.OK
                                                                : answer == Response.FULL
                                                                        ? Outcome.REJECTED
                                                                        : Outcome.ERROR,
                                                        load);
                                            }
                                        }));
    }

    @Override
    public void connectionBroken() {
        simulation.travel(server, node, () -> end(Outcome.RESET, null));
    }

    /** Its node waits no longer. */
    void giveUp(Outcome outcome) {
        if (!ended) {
            boolean open = connected;
            end(!written && outcome == Outcome.TIMEOUT ? Outcome.CONNECT_FAILED : outcome, null);
            if (open) {
                closeConnection();
            }
        }
    }

    private void closeConnection() {
        int closed = incarnation;
        simulation.travel(
                node,
                server,
                () -> {
                    server.connectionClosed(closed);
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

    /** Its node was killed: its connection is closed by the system. */
    void nodeKilled() {
        ended = true;
        noLongerArriving();
        timeout.cancel();
        if (connected) {
            closeConnection();
        }
    }
}
