package trailthread.daemon.listener;

/** A client's call is not one; the message says why. */
final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    BadRequestException(String message) {
        super(message);
    }
}
