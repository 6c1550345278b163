package trailthread.degradation;

import java.util.Locale;

/** What a level can be entered and left by; {@link Readings} says how each is measured. */
public enum Reading {
    /** Share of ready workers that fail. */
    FAILING(true, false),
    /** Age of load reports, ns. */
    REPORT_AGE(false, false),
    /** How late the loop runs, ns. */
    LATENESS(false, true),
    /** Share of descriptors in use. */
    DESCRIPTORS(true, true),
    /** Share of memory in use. */
    MEMORY(true, true),
    /** Share of guarded calls that lacked a worker of late. */
    STARVED(true, true),
    /** Share of CPU withheld. */
    CPU_WITHHELD(true, true);

    private static final double NS = 1e9;

    private final boolean share;
    private final boolean relieved;

    Reading(boolean share, boolean relieved) {
        this.share = share;
        this.relieved = relieved;
    }

    /** Whether it is a share, 0 to 1; the others are nanoseconds. */
    public boolean isShare() {
        return share;
    }

    /**
     * Whether shedding calls brings it down; it does not mend workers that fail, or late reports.
     */
    public boolean isRelieved() {
        return relieved;
    }

    /**
     * Its value in these readings, or NaN if that is absurd: not a number, infinite, negative, a
     * share above 1. Where no reports are expected (age NaN or -1) their age is 0.
     */
    public double of(Readings r) {
        double value =
                switch (this) {
                    case FAILING -> r.failing();
                    case REPORT_AGE ->
                            Double.isNaN(r.reportAgeNs()) || r.reportAgeNs() == -1
                                    ? 0
                                    : r.reportAgeNs();
                    case LATENESS -> r.latenessNs();
                    case DESCRIPTORS -> r.descriptors();
                    case MEMORY -> r.memory();
                    case STARVED -> r.starved();
                    case CPU_WITHHELD -> r.cpuWithheld();
                };
        boolean sane = value >= 0 && value <= (share ? 1 : Double.MAX_VALUE);
        return sane ? value : Double.NaN;
    }

    /** Its name in settings and in the log: {@code report_age}. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** A value of it, for people: {@code 0.200}, {@code 5.000 s}, or {@code unknown}. */
    String show(double value) {
        if (Double.isNaN(value)) {
            return "unknown";
        }
        return share
                ? String.format(Locale.ROOT, "%.3f", value)
                : String.format(Locale.ROOT, "%.3f s", value / NS);
    }
}
