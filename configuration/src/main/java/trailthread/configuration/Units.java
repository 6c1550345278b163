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
    private static final Map<String, Long> TIMES = new LinkedHashMap<>();
    private static final Map<String, Long> SIZES = new LinkedHashMap<>();

    static {
        // Units that end in another one come before it: "ms" before "s", "KiB" before "B".
        TIMES.put("us", 1_000L);
        TIMES.put("ms", MS);
        TIMES.put("min", 60 * SECOND);
        TIMES.put("h", HOUR);
        TIMES.put("s", SECOND);
        SIZES.put("KiB", 1L << 10);
        SIZES.put("MiB", 1L << 20);
        SIZES.put("GiB", 1L << 30);
        SIZES.put("B", 1L);
    }

    private Units() {}

    /**
     * Parses a duration.
     *
     * @return nanoseconds
     * @throws IllegalArgumentException if it is no duration, or not a number of nanoseconds
     */
    public static long nanoseconds(String text) {
        return parse(text, TIMES);
    }

    /**
     * Parses a size.
     *
     * @return bytes
     * @throws IllegalArgumentException if it is no size, or not a number of bytes
     */
    public static long bytes(String text) {
        return parse(text, SIZES);
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
    static String duration(long ns) {
        if (ns % SECOND == 0) {
            return ns / SECOND + "s";
        }
        return ns % MS == 0 ? ns / MS + "ms" : ns / 1_000 + "us";
    }

    /** Formats bytes in the largest of MiB, KiB and B that divides them. */
    static String size(long bytes) {
        if (bytes > 0 && bytes % (1 << 20) == 0) {
            return (bytes >> 20) + "MiB";
        }
        return bytes > 0 && bytes % (1 << 10) == 0 ? (bytes >> 10) + "KiB" : bytes + "B";
    }
}
