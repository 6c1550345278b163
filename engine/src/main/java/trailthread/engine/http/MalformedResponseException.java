package trailthread.engine.http;

/** What has come is no answer; the message says why. */
final class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
        super(message);
    }
}
