package trailthread.configuration;

/**
 * One error in a file.
 *
 * @param file the name of the file
 * @param line counted from 1
 * @param column counted from 1
 * @param key the key with its section, or empty for a syntax error
 * @param expected the values that are valid at this place
 * @param found the actual value, or empty
 */
public record Fault(String file, int line, int column, String key, String expected, String found) {
    /** The error as one line, as operators see it. */
    @Override
    public String toString() {
        String position = file + ":" + line + ":" + column + ": ";
        String subject = key.isEmpty() ? "" : key + ": ";
        String actual = found.isEmpty() ? "" : ", found " + found;
        return position + subject + "expected " + expected + actual;
    }
}
