package trailthread.lab.simulation;

import trailthread.lab.clients.ClientRequest;

/** A call at a node. */
final class SimulatedRequest {
    final long id;

    /** Over all nodes, in the order of the calls. */
    final long serial;

    final String name;
    final ClientRequest ask;
    final long deadline;
    final long takenAt;
    int attempts;
    SimulatedAttempt out;
    boolean finished;

    SimulatedRequest(long id, long serial, ClientRequest ask, long takenAt, long deadline) {
        this.id = id;
        this.serial = serial;
        this.name = Long.toString(serial);
        this.ask = ask;
        this.takenAt = takenAt;
        this.deadline = deadline;
    }
}
