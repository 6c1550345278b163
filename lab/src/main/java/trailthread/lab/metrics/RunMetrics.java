package trailthread.lab.metrics;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import trailthread.lab.scenario.Scenario.ClassLaw;

/**
 * What came of a run, counted as it goes. What clients first asked for before the end of the
 * warm-up does not count in the totals; it stands in the series by seconds.
 */
public final class RunMetrics {
    private static final long MOST_US = 600_000_000L;
    private static final int DIGITS = 3;

    /** What became of the requests of one class. */
    public static final class OfClass {
        private long asked;
        private long good;
        private long late;
        private long refused;
        private final Histogram latencyUs = new Histogram(MOST_US, DIGITS);

        /**
         * Asked for; answered within the aim; after it; refused in the end; the rest has failed.
         */
        public long[] counts() {
            return new long[] {asked, good, late, refused, asked - good - late - refused};
        }

        /** Of those that were served, from the first try on, in us. */
        public Histogram latencyUs() {
            return latencyUs;
        }
    }

    /** A second of the day. */
    public static final class Second {
        private long asked;
        private long good;
        private long late;
        private long refused;
        private long failed;
        private long attempts;
        private int[] held = new int[0];

        /**
         * First tries in it, and what became of these: within the aim, after it, refused, failed;
         * and attempts.
         */
        public long[] counts() {
            return new long[] {asked, good, late, refused, failed, attempts};
        }

        /** What each server held at its end. */
        public int[] held() {
            return held;
        }
    }

    private final long begin;
    private final long from;
    private long clock = Long.MIN_VALUE;
    private final Map<String, OfClass> classes = new LinkedHashMap<>();
    private final List<Second> seconds = new ArrayList<>();
    private final List<Long> sent = new ArrayList<>();
    private double askedWorth;
    private double goodWorth;
    private long tries;
    private long asks;
    private long attempts;
    private long probes;
    private long opened;
    private long refusals;
    private long notes;
    private long decisions;
    private long decisionNs;

    /** The day begins at {@code begin} and counts from {@code from} on, in ns. */
    public RunMetrics(long begin, long from) {
        this.begin = begin;
        this.from = from;
    }

    private Second second(long at) {
        int index = (int) ((at - begin) / 1_000_000_000L);
        while (seconds.size() <= index) {
            seconds.add(new Second());
        }
        return seconds.get(index);
    }

    private int counts() {
        return clock >= from ? 1 : 0;
    }

    /** The time of what is counted next, where it is not said. */
    public void at(long now) {
        clock = now;
    }

    /** A client's request has come to its end, over all its tries. */
    public void ended(
            ClassLaw law, boolean served, boolean refused, long begunAt, long endedAt, int tried) {
        long took = endedAt - begunAt;
        boolean good = served && took <= law.rules().latencyObjectiveNs();
        Second second = second(begunAt);
        second.asked++;
        second.good += good ? 1 : 0;
        second.late += served && !good ? 1 : 0;
        second.refused += refused ? 1 : 0;
        second.failed += served || refused ? 0 : 1;
        if (begunAt < from) {
            return;
        }
        OfClass of = classes.computeIfAbsent(law.rules().name(), name -> new OfClass());
        asks++;
        tries += tried;
        of.asked++;
        of.good += good ? 1 : 0;
        of.late += served && !good ? 1 : 0;
        of.refused += refused ? 1 : 0;
        askedWorth += law.rules().priorityWeight();
        goodWorth +=
                good
                        ? law.rules().priorityWeight()
                        : served ? law.rules().priorityWeight() * law.rules().lateWeightShare() : 0;
        if (served) {
            of.latencyUs.recordValue(Math.min(MOST_US, Math.max(0, took / 1000)));
        }
    }

    /** An attempt was sent to the server of this number. */
    public void sends(int server) {
        attempts += counts();
        second(clock).attempts++;
        while (sent.size() <= server) {
            sent.add(0L);
        }
        sent.set(server, sent.get(server) + 1);
    }

    /** A probe was sent. */
    public void probes() {
        probes += counts();
    }

    /** A connection to a server was opened. */
    public void opens() {
        opened += counts();
    }

    /** A node has refused a try. */
    public void refuses() {
        refusals += counts();
    }

    /** A node has written a line for its staff. */
    public void logs() {
        notes += counts();
    }

    /** The decisions took this long for one event. */
    public void decided(long ns) {
        decisions++;
        decisionNs += ns;
    }

    /** What each server holds now. */
    public void holds(long now, int[] held) {
        second(now).held = held;
    }

    /** Worth that was answered in time over worth that was asked for; 1 where nothing was. */
    public double goodput() {
        return askedWorth == 0 ? 1 : goodWorth / askedWorth;
    }

    /** By class, in the order in which they were first asked for. */
    public Map<String, OfClass> classes() {
        return classes;
    }

    /** Of all classes together, in us. */
    public Histogram latencyUs() {
        Histogram all = new Histogram(MOST_US, DIGITS);
        classes.values().forEach(of -> all.add(of.latencyUs));
        return all;
    }

    /** By seconds. */
    public List<Second> seconds() {
        return seconds;
    }

    /** Attempts sent to each server. */
    public List<Long> sent() {
        return sent;
    }

    /**
     * Requests of clients, and their tries; attempts, probes, connections opened, refusals, lines
     * of log.
     */
    public long[] totals() {
        return new long[] {asks, tries, attempts, probes, opened, refusals, notes};
    }

    /** Events that the decisions were told of. */
    public long decisions() {
        return decisions;
    }

    /** Time that the decisions took, in ns of this machine. */
    public long decisionNs() {
        return decisionNs;
    }
}
