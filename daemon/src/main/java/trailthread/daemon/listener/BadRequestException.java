package trailthread.daemon.listener;

/** The head of a client's request is malformed; the message says what is wrong with it. */
final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    BadRequestException(String message) {
        super(message);
    }
}
