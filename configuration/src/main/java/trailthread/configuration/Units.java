package trailthread.configuration;

import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** Parses and formats durations and sizes with their units, such as 250ms and 64KiB. */
public final class Units {
    /** Nanoseconds in a millisecond. */
    static final long MS = 1_000_000L;

    /** Nanoseconds in a second. */
    static final long SECOND = 1_000 * MS;

    /** Nanoseconds in an hour. */
    static final long HOUR = 3_600 * SECOND;

    private static final int MAX_NUMBER_CHARS = 18;
    private static final Pattern NUMBER = Pattern.compile("[0-9]+(\\.[0-9]+)?");
    private static final Map<String, Long> DURATION_UNITS = new LinkedHashMap<>();
    private static final Map<String, Long> SIZE_UNITS = new LinkedHashMap<>();

    static {
        // A unit that ends in another unit comes before it: "ms" before "s", "KiB" before "B".
        DURATION_UNITS.put("us", 1_000L);
        DURATION_UNITS.put("ms", MS);
        DURATION_UNITS.put("min", 60 * SECOND);
        DURATION_UNITS.put("h", HOUR);
        DURATION_UNITS.put("s", SECOND);
        SIZE_UNITS.put("KiB", 1L << 10);
        SIZE_UNITS.put("MiB", 1L << 20);
        SIZE_UNITS.put("GiB", 1L << 30);
        SIZE_UNITS.put("B", 1L);
    }

    private Units() {}

    /**
     * Parses a duration.
     *
     * @return nanoseconds
     * @throws IllegalArgumentException if the text is no duration, or one that is not a whole
     *     number of nanoseconds
     */
    public static long parseNanoseconds(String text) {
        return parse(text, DURATION_UNITS);
    }

    /**
     * Parses a size.
     *
     * @return bytes
     * @throws IllegalArgumentException if the text is no size, or one that is not a whole number of
     *     bytes
     */
    public static long parseBytes(String text) {
        return parse(text, SIZE_UNITS);
    }

    private static long parse(String text, Map<String, Long> units) {
        for (Map.Entry<String, Long> unit : units.entrySet()) {
            if (text.endsWith(unit.getKey())) {
                String number = text.substring(0, text.length() - unit.getKey().length());
                // BigDecimal would also accept a sign, an exponent and digits of other scripts.
                if (number.length() > MAX_NUMBER_CHARS || !NUMBER.matcher(number).matches()) {
                    break;
                }
                try {
                    return new BigDecimal(number)
                            .multiply(BigDecimal.valueOf(unit.getValue()))
                            .longValueExact();
                } catch (ArithmeticException e) {
                    break; // too large for a long, or not a multiple of the smallest unit
                }
            }
        }
        throw new IllegalArgumentException("no number with a unit: " + text);
    }

    /** Formats nanoseconds in the largest of s, ms and us that divides them. */
    static String formatDuration(long ns) {
        if (ns % SECOND == 0) {
            return ns / SECOND + "s";
        }
        return ns % MS == 0 ? ns / MS + "ms" : ns / 1_000 + "us";
    }

    /** Formats bytes in the largest of MiB, KiB and B that divides them. */
    static String formatSize(long bytes) {
        if (bytes > 0 && bytes % (1 << 20) == 0) {
            return (bytes >> 20) + "MiB";
        }
        return bytes > 0 && bytes % (1 << 10) == 0 ? (bytes >> 10) + "KiB" : bytes + "B";
    }
}
