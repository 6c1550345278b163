package trailthread.engine.routes;

/**
 * A request target or Host header that is invalid, or that two parsers could read differently. Has
 * no stack trace, as clients can cause it at any rate.
 */
public final class BadTargetException extends Exception {
    private static final long serialVersionUID = 1;

    BadTargetException(String message) {
        super(message, null, false, false);
    }
}
