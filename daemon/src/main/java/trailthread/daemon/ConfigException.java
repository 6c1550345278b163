package trailthread.daemon;

/** The configuration can't be used. The message names the key and what was expected. */
final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Reports a value that is missing or wrong.
     *
     * @param key the key or environment variable
     * @param expected what should have been there
     */
    ConfigException(String key, String expected) {
        super(key + ": expected " + expected);
    }

    /** Reports an error together with the file that has it. */
    ConfigException(String file, ConfigException cause) {
        super(cause.getMessage() + " in " + file, cause);
    }

    /** Reports an error whose message already names the key. */
    ConfigException(IllegalArgumentException cause) {
        super(cause.getMessage(), cause);
    }
}
