package trailthread.configuration;

import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.Map;

/** Durations and sizes with their units, such as 250ms and 64KiB; pure. */
public final class Units {
    private static final Map<String, Long> TIMES = new LinkedHashMap<>();
    private static final Map<String, Long> SIZES = new LinkedHashMap<>();

    static {
        // The longer ones first, as they end in the shorter ones.
        TIMES.put("us", 1_000L);
        TIMES.put("ms", 1_000_000L);
        TIMES.put("min", 60_000_000_000L);
        TIMES.put("h", 3_600_000_000_000L);
        TIMES.put("s", 1_000_000_000L);
        SIZES.put("KiB", 1L << 10);
        SIZES.put("MiB", 1L << 20);
        SIZES.put("GiB", 1L << 30);
        SIZES.put("B", 1L);
    }

    private Units() {}

    /**
     * In ns.
     *
     * @throws IllegalArgumentException if it is no duration
     */
    public static long nanoseconds(String text) {
        return parse(text, TIMES);
    }

    /**
     * In bytes.
     *
     * @throws IllegalArgumentException if it is no size
     */
    public static long bytes(String text) {
        return parse(text, SIZES);
    }

    private static long parse(String text, Map<String, Long> units) {
        for (Map.Entry<String, Long> unit : units.entrySet()) {
            if (text.endsWith(unit.getKey())) {
                String number = text.substring(0, text.length() - unit.getKey().length());
                // Letters that BigDecimal would take, too: a sign, an exponent, digits of other
                // scripts.
                if (number.length() > 18 || !number.matches("[0-9]+(\\.[0-9]+)?")) {
                    break;
                }
                try {
                    return new BigDecimal(number)
                            .multiply(BigDecimal.valueOf(unit.getValue()))
                            .longValueExact();
                } catch (ArithmeticException e) {
                    break; // past what a long holds, or a part of the least unit
                }
            }
        }
        throw new IllegalArgumentException("no number with a unit: " + text);
    }

    /** A duration as one would write it. */
    static String duration(long ns) {
        return ns % 1_000_000_000 == 0
                ? ns / 1_000_000_000 + "s"
                : ns % 1_000_000 == 0 ? ns / 1_000_000 + "ms" : ns / 1_000 + "us";
    }

    /** A size as one would write it. */
    static String size(long bytes) {
        return bytes > 0 && bytes % (1 << 20) == 0
                ? (bytes >> 20) + "MiB"
                : bytes > 0 && bytes % (1 << 10) == 0 ? (bytes >> 10) + "KiB" : bytes + "B";
    }
}
