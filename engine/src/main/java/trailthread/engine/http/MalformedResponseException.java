package trailthread.engine.http;

/** A server sent something that is not a valid HTTP/1.1 response; the message says what. */
final class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
        super(message);
    }
}
