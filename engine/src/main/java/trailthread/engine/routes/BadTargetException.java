package trailthread.engine.routes;

/**
 * A request whose target or host two readers could understand differently, or that no server may be
 * sent.
 */
public final class BadTargetException extends Exception {
    private static final long serialVersionUID = 1;

    BadTargetException(String why) {
        super(why, null, false, false);
    }
}
