package trailthread.lab.simulation;

import trailthread.lab.clients.ClientOperation;

/** A request at a node. */
final class SimulatedRequest {
    /** Counts the requests of all nodes. */
    final long id;

    /** Identifies the request to the checker. */
    final String name;

    final ClientOperation operation;
    final long deadline;
    int attempts;
    SimulatedAttempt currentAttempt;
    boolean finished;

    SimulatedRequest(long id, ClientOperation operation, long deadline) {
        this.id = id;
        this.name = Long.toString(id);
        this.operation = operation;
        this.deadline = deadline;
    }
}
