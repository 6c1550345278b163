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
    private final Simulation world;
    private final SimulatedNode node;
    private final long sentAt;
    private EventQueue.Entry timeout;
    private boolean ended;

    /** It has a connection, of this life of its server. */
    private boolean connected;

    private int life;
    private boolean written;

    /** It counts among those that are on their way. */
    private boolean arriving = true;

    SimulatedAttempt(
            Simulation world,
            SimulatedNode node,
            SimulatedRequest request,
            int number,
            SimulatedServer server) {
        this.world = world;
        this.node = node;
        this.request = request;
        this.number = number;
        this.server = server;
        this.sentAt = world.now();
        this.life = server.process().life();
        server.arriving++;
    }

    /** Begins it; it is given up after this time, in ns. */
    void send(long withinNs) {
        timeout =
                world.eventQueue()
                        .scheduleAfter(withinNs, () -> node.input(() -> giveUp(Outcome.TIMEOUT)));
        if (node.takeIdleConnection(server)) {
            connected = true;
            write();
        } else {
            connect();
        }
    }

    private void connect() {
        world.metrics().recordConnection();
        world.eventQueue()
                .scheduleAfter(
                        world.network().dialNs(),
                        () ->
                                node.input(
                                        () -> {
                                            if (!connected) {
                                                end(Outcome.CONNECT_FAILED, null);
                                            }
                                        }));
        world.travel(
                node,
                server,
                () -> {
                    boolean accepted = server.acceptConnection();
                    life = server.process().life();
                    world.travel(
                            server,
                            node,
                            () -> {
                                if (ended && accepted) {
                                    server.connectionClosed(life);
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
        world.travel(
                node,
                server,
                () -> {
                    if (ended) {
                        return; // the connection was closed on it
                    }
                    noLongerArriving();
                    if (server.process().isUp() && server.process().life() == life) {
                        server.process().arrived(this);
                    } else {
                        world.travel(server, node, () -> end(Outcome.RESET, null));
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
    public void begins() {
        world.checker().executionStarted(world.now(), request.name, number);
    }

    @Override
    public void answers(Answer answer, long drips) {
        if (server.process().life() != life || ended) {
            return;
        }
        if (answer == Answer.RESET || answer == Answer.GARBAGE) {
            server.connectionClosed(life);
            breaks();
            return;
        }
        LoadReport load = server.process().report();
        world.eventQueue()
                .scheduleAfter(
                        drips,
                        () ->
                                world.travel(
                                        server,
                                        node,
                                        () -> {
                                            if (!ended) {
                                                node.keepIdleConnection(server, life);
                                                connected = false;
                                                end(
                                                        answer == Answer.OK
                                                                ? Outcome.OK
                                                                : answer == Answer.FULL
                                                                        ? Outcome.REJECTED
                                                                        : Outcome.ERROR,
                                                        load);
                                            }
                                        }));
    }

    @Override
    public void breaks() {
        world.travel(server, node, () -> end(Outcome.RESET, null));
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
        int of = life;
        world.travel(
                node,
                server,
                () -> {
                    server.connectionClosed(of);
                    server.process().givenUp(this);
                });
    }

    private void end(Outcome outcome, LoadReport load) {
        if (!ended) {
            ended = true;
            noLongerArriving();
            timeout.cancel();
            node.attemptEnded(this, outcome, world.now() - sentAt, load);
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
