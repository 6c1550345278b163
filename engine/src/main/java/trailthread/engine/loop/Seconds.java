package trailthread.engine.loop;

/** Durations as the protocol writes them: seconds with decimals. */
public final class Seconds {
    /** Nobody waits longer; a larger figure would overflow what is counted in nanoseconds. */
    private static final double LONGEST = 3600;

    private static final int MOST_LETTERS = 20;

    private Seconds() {}

    /** The nanoseconds, or -1 if this is no duration of a sensible length. */
    public static long parse(String text) {
        if (text.isEmpty() || text.length() > MOST_LETTERS) {
            return -1;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if ((c < '0' || c > '9') && c != '.') {
                return -1;
            }
        }
        try {
            double seconds = Double.parseDouble(text);
            return seconds <= LONGEST ? Math.round(seconds * 1e9) : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Whole milliseconds, rounded down, and never below nothing. */
    public static String format(long ns) {
        long ms = Math.max(0, ns) / 1_000_000;
        long rest = ms % 1000;
        return ms / 1000 + (rest < 10 ? ".00" : rest < 100 ? ".0" : ".") + rest;
    }
}
