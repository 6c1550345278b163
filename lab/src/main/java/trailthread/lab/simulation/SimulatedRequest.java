package trailthread.lab.simulation;

import trailthread.lab.clients.ClientOperation;

/** A request at a node. */
final class SimulatedRequest {
    final long id;

    /** Counts the requests of all nodes. */
    final long serial;

    /** Identifies the request to the checker. */
    final String name;

    final ClientOperation operation;
    final long deadline;
    final long receivedAt;
    int attempts;
    SimulatedAttempt currentAttempt;
    boolean finished;

    SimulatedRequest(
            long id, long serial, ClientOperation operation, long receivedAt, long deadline) {
        this.id = id;
        this.serial = serial;
        this.name = Long.toString(serial);
        this.operation = operation;
        this.receivedAt = receivedAt;
        this.deadline = deadline;
    }
}
