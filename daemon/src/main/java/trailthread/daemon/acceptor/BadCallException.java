package trailthread.daemon.acceptor;

/** A client's call is not one; the message says why. */
final class BadCallException extends Exception {
    private static final long serialVersionUID = 1L;

    BadCallException(String message) {
        super(message);
    }
}
