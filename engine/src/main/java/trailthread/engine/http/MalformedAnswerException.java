package trailthread.engine.http;

/** What has come is no answer; the message says why. */
final class MalformedAnswerException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedAnswerException(String message) {
        super(message);
    }
}
