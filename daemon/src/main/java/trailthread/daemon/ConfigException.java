package trailthread.daemon;

/** The configuration is not usable; the message names the key and what was expected. */
final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigException(String key, String expected) {
        super(key + ": expected " + expected);
    }

    /** Takes on a message that names the key already. */
    ConfigException(IllegalArgumentException cause) {
        super(cause.getMessage(), cause);
    }
}
