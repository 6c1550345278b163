package trailthread.lab.metrics;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import trailthread.lab.scenario.Scenario.ClassModel;

/**
 * What came of a run, counted as it goes. What clients first asked for before the end of the
 * warm-up does not count in the totals; it stands in the series by seconds.
 */
public final class RunMetrics {
    private static final long MAX_LATENCY_US = 600_000_000L;
    private static final int HISTOGRAM_DIGITS = 3;

    /** What became of the requests of one class. */
    public static final class ClassMetrics {
        private long offered;
        private long inTime;
        private long late;
        private long refused;
        private final Histogram latencyUs = new Histogram(MAX_LATENCY_US, HISTOGRAM_DIGITS);

        /**
         * Asked for; answered within the aim; after it; refused in the end; the rest has failed.
         */
        public long[] counts() {
            return new long[] {offered, inTime, late, refused, offered - inTime - late - refused};
        }

        /** Of those that were served, from the first try on, in us. */
        public Histogram latencyUs() {
            return latencyUs;
        }
    }

    /** A second of the day. */
    public static final class SecondMetrics {
        private long offered;
        private long inTime;
        private long late;
        private long refused;
        private long failed;
        private long attempts;
        private int[] inflight = new int[0];

        /**
         * First tries in it, and what became of these: within the aim, after it, refused, failed;
         * and attempts.
         */
        public long[] counts() {
            return new long[] {offered, inTime, late, refused, failed, attempts};
        }

        /** What each server held at its end. */
        public int[] inflight() {
            return inflight;
        }
    }

    private final long begin;
    private final long countedFrom;
    private long clock = Long.MIN_VALUE;
    private final Map<String, ClassMetrics> classes = new LinkedHashMap<>();
    private final List<SecondMetrics> seconds = new ArrayList<>();
    private final List<Long> attemptsByServer = new ArrayList<>();
    private double offeredWeight;
    private double goodWeight;
    private long clientAttempts;
    private long operations;
    private long attempts;
    private long probes;
    private long connections;
    private long refusals;
    private long logLines;
    private long decisions;
    private long decisionNs;

    /** The day begins at {@code begin} and counts from {@code countedFrom} on, in ns. */
    public RunMetrics(long begin, long countedFrom) {
        this.begin = begin;
        this.countedFrom = countedFrom;
    }

    private SecondMetrics second(long at) {
        int index = (int) ((at - begin) / 1_000_000_000L);
        while (seconds.size() <= index) {
            seconds.add(new SecondMetrics());
        }
        return seconds.get(index);
    }

    private int counted() {
        return clock >= countedFrom ? 1 : 0;
    }

    /** The time of what is counted next, where it is not said. */
    public void setClock(long now) {
        clock = now;
    }

    /** A client's request has come to its end, over all its tries. */
    public void recordOperation(
            ClassModel classModel,
            boolean served,
            boolean refused,
            long startedAt,
            long endedAt,
            int clientAttemptsUsed) {
        long latency = endedAt - startedAt;
        boolean inTime = served && latency <= classModel.requestClass().latencyObjectiveNs();
        SecondMetrics second = second(startedAt);
        second.offered++;
        second.inTime += inTime ? 1 : 0;
        second.late += served && !inTime ? 1 : 0;
        second.refused += refused ? 1 : 0;
        second.failed += served || refused ? 0 : 1;
        if (startedAt < countedFrom) {
            return;
        }
        ClassMetrics classMetrics =
                classes.computeIfAbsent(
                        classModel.requestClass().name(), name -> new ClassMetrics());
        operations++;
        clientAttempts += clientAttemptsUsed;
        classMetrics.offered++;
        classMetrics.inTime += inTime ? 1 : 0;
        classMetrics.late += served && !inTime ? 1 : 0;
        classMetrics.refused += refused ? 1 : 0;
        offeredWeight += classModel.requestClass().priorityWeight();
        goodWeight +=
                inTime
                        ? classModel.requestClass().priorityWeight()
                        : served
                                ? classModel.requestClass().priorityWeight()
                                        * classModel.requestClass().lateWeightShare()
                                : 0;
        if (served) {
            classMetrics.latencyUs.recordValue(
                    Math.min(MAX_LATENCY_US, Math.max(0, latency / 1000)));
        }
    }

    /** An attempt was sent to the server of this number. */
    public void recordAttempt(int server) {
        attempts += counted();
        second(clock).attempts++;
        while (attemptsByServer.size() <= server) {
            attemptsByServer.add(0L);
        }
        attemptsByServer.set(server, attemptsByServer.get(server) + 1);
    }

    /** A probe was sent. */
    public void recordHealthCheck() {
        probes += counted();
    }

    /** A connection to a server was opened. */
    public void recordConnection() {
        connections += counted();
    }

    /** A node has refused a try. */
    public void recordRefusal() {
        refusals += counted();
    }

    /** A node has written a line for its staff. */
    public void recordLogLine() {
        logLines += counted();
    }

    /** The decisions took this long for one event. */
    public void recordDecision(long ns) {
        decisions++;
        decisionNs += ns;
    }

    /** What each server holds now. */
    public void recordInflight(long now, int[] inflight) {
        second(now).inflight = inflight;
    }

    /** Worth that was answered in time over worth that was asked for; 1 where nothing was. */
    public double goodput() {
        return offeredWeight == 0 ? 1 : goodWeight / offeredWeight;
    }

    /** By class, in the order in which they were first asked for. */
    public Map<String, ClassMetrics> classes() {
        return classes;
    }

    /** Of all classes together, in us. */
    public Histogram latencyUs() {
        Histogram all = new Histogram(MAX_LATENCY_US, HISTOGRAM_DIGITS);
        classes.values().forEach(classMetrics -> all.add(classMetrics.latencyUs));
        return all;
    }

    /** By seconds. */
    public List<SecondMetrics> seconds() {
        return seconds;
    }

    /** Attempts sent to each server. */
    public List<Long> attemptsByServer() {
        return attemptsByServer;
    }

    /**
     * Requests of clients, and their tries; attempts, probes, connections opened, refusals, lines
     * of log.
     */
    public long[] totals() {
        return new long[] {
            operations, clientAttempts, attempts, probes, connections, refusals, logLines
        };
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
