package trailthread.engine.loop;

/** Durations as the protocol writes them: seconds with a decimal point. */
public final class Seconds {
    /** Longer durations are invalid, as their nanoseconds could overflow. */
    private static final double MAX_SECONDS = 3600;

    private static final int MAX_CHARACTERS = 20;

    private Seconds() {}

    /** Returns the duration in nanoseconds; -1 if the text is malformed or over an hour. */
    public static long parse(String text) {
        if (text.isEmpty() || text.length() > MAX_CHARACTERS) {
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
            return seconds <= MAX_SECONDS ? Math.round(seconds * 1e9) : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Seconds with three decimals, rounded down; {@code 0.000} for negative durations. */
    public static String format(long ns) {
        long ms = Math.max(0, ns) / 1_000_000;
        long decimals = ms % 1000;
        String point = ".";
        if (decimals < 10) {
            point = ".00";
        } else if (decimals < 100) {
            point = ".0";
        }
        return ms / 1000 + point + decimals;
    }
}
