package trailthread.degradation;

import java.util.Locale;

/** A measured quantity that a level can be entered and left by; {@link Readings} defines each. */
public enum Reading {
    /** Share of ready endpoints that fail. */
    FAILING(true, false),
    /** Age of load reports, ns. */
    REPORT_AGE(false, false),
    /** How late the I/O thread runs its timers, ns. */
    LATENESS(false, true),
    /** Share of descriptors in use. */
    DESCRIPTORS(true, true),
    /** Share of memory in use. */
    MEMORY(true, true),
    /** Recent share of requests outside the safe reach that lacked an endpoint. */
    STARVED(true, true),
    /** Share of the time in which the node wanted CPU and got none. */
    CPU_WITHHELD(true, true);

    private static final double NS_PER_SECOND = 1e9;

    private final boolean share;
    private final boolean relievedByShedding;

    Reading(boolean share, boolean relievedByShedding) {
        this.share = share;
        this.relievedByShedding = relievedByShedding;
    }

    /** Whether the reading is a share, 0 to 1; the others are nanoseconds. */
    public boolean isShare() {
        return share;
    }

    /**
     * Whether shedding load lowers the reading; it repairs neither failing endpoints nor late
     * reports.
     */
    public boolean isRelievedByShedding() {
        return relievedByShedding;
    }

    /**
     * The value of this reading, or NaN if the value is unusable: not a number, infinite, negative,
     * or a share above 1. If no load reports are expected (age NaN or -1), their age is 0.
     */
    public double valueIn(Readings readings) {
        double value =
                switch (this) {
                    case FAILING -> readings.failing();
                    case REPORT_AGE -> reportAgeNs(readings);
                    case LATENESS -> readings.latenessNs();
                    case DESCRIPTORS -> readings.descriptors();
                    case MEMORY -> readings.memory();
                    case STARVED -> readings.starved();
                    case CPU_WITHHELD -> readings.cpuWithheld();
                };
        double max = share ? 1 : Double.MAX_VALUE;
        return value >= 0 && value <= max ? value : Double.NaN;
    }

    private static double reportAgeNs(Readings readings) {
        double age = readings.reportAgeNs();
        boolean noneExpected = Double.isNaN(age) || age == -1;
        return noneExpected ? 0 : age;
    }

    /** The reading's key in settings and in the log, such as {@code report_age}. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** A value of this reading as text: {@code 0.200}, {@code 5.000 s}, or {@code unknown}. */
    String show(double value) {
        if (Double.isNaN(value)) {
            return "unknown";
        }
        if (share) {
            return String.format(Locale.ROOT, "%.3f", value);
        }
        return String.format(Locale.ROOT, "%.3f s", value / NS_PER_SECOND);
    }
}
