package trailthread;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The requests that are not finished, or still have an attempt in flight. */
final class OpenRequests {
    private final Map<Long, Request> byId = new HashMap<>();

    void add(Request request) {
        byId.put(request.id, request);
    }

    /** The request with this id, or null. */
    Request get(long id) {
        return byId.get(id);
    }

    /** The attempt of this number, if it is in flight. */
    Optional<Attempt> attemptInFlight(long id, int number) {
        return Optional.ofNullable(get(id)).map(request -> request.inFlightAttempt(number));
    }

    /**
     * Lets a request wait beyond its deadline for an attempt whose response has begun.
     *
     * @param heldUntil by the clock of the events, in nanoseconds
     */
    void holdUntil(long id, int number, long heldUntil) {
        if (attemptInFlight(id, number).isPresent()) {
            get(id).responseHeldUntil = heldUntil;
        }
    }

    void removeIfComplete(Request request) {
        if (request.finished && request.inFlight() == 0) {
            byId.remove(request.id);
        }
    }
}
