package trailthread.lab.world;

import trailthread.lab.clients.Ask;

/** A call at a node. */
final class SimCall {
    final long id;

    /** Over all nodes, in the order of the calls. */
    final long serial;

    final String name;
    final Ask ask;
    final long deadline;
    final long takenAt;
    int attempts;
    SimAttempt out;
    boolean finished;

    SimCall(long id, long serial, Ask ask, long takenAt, long deadline) {
        this.id = id;
        this.serial = serial;
        this.name = Long.toString(serial);
        this.ask = ask;
        this.takenAt = takenAt;
        this.deadline = deadline;
    }
}
