package trailthread.daemon.listener;

import trailthread.engine.quota.MemoryBudget;
import trailthread.engine.quota.MemoryBudget.Use;
import trailthread.engine.quota.MemoryReservation;

/**
 * What one request holds of the memory budget, from its head until neither the engine nor the
 * client's connection uses the request or its response any more.
 */
final class RequestMemory {
    /** A longer body is optional to buffer: it can be streamed instead. */
    static final int SHORT_BODY_BYTES = 64 * 1024;

    /** Reserved for each request: its objects, and one piece of a streamed body or response. */
    static final int MIN_REQUEST_BYTES = 16 * 1024;

    private final MemoryReservation reservation;

    /** How much of the reservation is for the complete body. */
    private long bodyBytes;

    private boolean usedByEngine;
    private boolean usedByConnection = true;

    private RequestMemory(MemoryReservation reservation) {
        this.reservation = reservation;
    }

    /** Returns the memory of a request that is only rejected, for which nothing is reserved. */
    static RequestMemory none(MemoryBudget budget) {
        return new RequestMemory(budget.newReservation());
    }

    /**
     * Reserves memory for a request whose head has arrived.
     *
     * @param declaredLength the length of its body in bytes; -1: not declared
     * @return null if there is no room for another request
     */
    static RequestMemory tryAdmit(MemoryBudget budget, long declaredLength) {
        RequestMemory memory = none(budget);
        long bytes = MIN_REQUEST_BYTES + reservedAtHead(declaredLength);
        return memory.reservation.tryGrow(Use.NEW_REQUEST, bytes) ? memory : null;
    }

    /** The bytes of a body that are reserved with the head, so that a short body is never cut. */
    static long reservedAtHead(long declaredLength) {
        return declaredLength <= SHORT_BODY_BYTES ? Math.max(0, declaredLength) : 0;
    }

    /** The use for which a body's buffer of this capacity is reserved. */
    static Use useFor(long bodyCapacity) {
        return bodyCapacity > SHORT_BODY_BYTES ? Use.OPTIONAL : Use.NEW_REQUEST;
    }

    MemoryReservation reservation() {
        return reservation;
    }

    /** Records that the engine uses the request, with a body for which memory is reserved. */
    void engineStarts(long reservedBodyBytes) {
        bodyBytes = reservedBodyBytes;
        usedByEngine = true;
    }

    /** Records that the body is not used any more. */
    void bodyReleased() {
        reservation.shrink(bodyBytes);
        bodyBytes = 0;
    }

    /** Records that the engine uses neither the request nor its response any more. */
    void engineEnded() {
        bodyReleased();
        usedByEngine = false;
        releaseIfUnused();
    }

    /** Records that the response has been written, or that the client's connection is closed. */
    void connectionEnded() {
        usedByConnection = false;
        releaseIfUnused();
    }

    private void releaseIfUnused() {
        if (!usedByEngine && !usedByConnection) {
            reservation.release();
        }
    }
}
