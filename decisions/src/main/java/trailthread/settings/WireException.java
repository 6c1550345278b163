package trailthread.settings;

/**
 * The wire carried what it must not; the message names the line, the field and what was expected.
 */
public final class WireException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    public WireException(long line, String field, String expected) {
        this("line " + line, field, expected);
    }

    public WireException(String where, String field, String expected) {
        super(where + ": " + field + ": expected " + expected);
    }
}
