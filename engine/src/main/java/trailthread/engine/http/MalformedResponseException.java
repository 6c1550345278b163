package trailthread.engine.http;

/** A server sent an invalid HTTP/1.1 response; the message names what is invalid in it. */
final class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
        super(message);
    }
}
