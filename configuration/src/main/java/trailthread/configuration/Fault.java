package trailthread.configuration;

/**
 * One thing that is wrong with a file.
 *
 * @param line from 1 on
 * @param column from 1 on
 * @param key with its section, or empty where the file is no TOML
 */
public record Fault(String file, int line, int column, String key, String expected, String found) {
    /** The one line that operators read. */
    @Override
    public String toString() {
        return file
                + ":"
                + line
                + ":"
                + column
                + ": "
                + (key.isEmpty() ? "" : key + ": ")
                + "expected "
                + expected
                + (found.isEmpty() ? "" : ", found " + found);
    }
}
