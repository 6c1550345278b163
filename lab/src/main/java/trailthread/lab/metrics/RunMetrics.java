package trailthread.lab.metrics;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import trailthread.lab.scenario.Scenario.ClassModel;

/**
 * Metrics of a run. Operations that began before the end of the warm-up count only in the series of
 * seconds, not in the totals. Attempts by server include the warm-up.
 */
public final class RunMetrics {
    private static final long MAX_LATENCY_US = 600_000_000L;
    private static final int HISTOGRAM_DIGITS = 3;

    /** The results of one request class. */
    public static final class ClassMetrics {
        private long offered;
        private long inTime;
        private long late;
        private long rejected;
        private final Histogram latencyUs = new Histogram(MAX_LATENCY_US, HISTOGRAM_DIGITS);

        /**
         * The number of operations: all, served within the latency objective, served late,
         * rejected, failed.
         */
        public long[] counts() {
            return new long[] {offered, inTime, late, rejected, offered - inTime - late - rejected};
        }

        /** The latencies of served operations, measured from the first attempt, in us. */
        public Histogram latencyUs() {
            return latencyUs;
        }
    }

    /** The results of one second of the run. */
    public static final class SecondMetrics {
        private long offered;
        private long inTime;
        private long late;
        private long rejected;
        private long failed;
        private long attempts;
        private int[] inflight = new int[0];

        /**
         * The operations that began in this second, and how they ended (within the latency
         * objective, late, rejected, failed); and the attempts sent to servers in this second.
         */
        public long[] counts() {
            return new long[] {offered, inTime, late, rejected, failed, attempts};
        }

        /** The requests in flight at each server at the end of the second. */
        public int[] inflight() {
            return inflight;
        }
    }

    private final long runStart;
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
    private long healthChecks;
    private long connections;
    private long rejections;
    private long logLines;
    private long decisions;
    private long decisionNs;

    /**
     * Starts the series of seconds at {@code runStart} and the totals at {@code countedFrom}, in
     * ns.
     */
    public RunMetrics(long runStart, long countedFrom) {
        this.runStart = runStart;
        this.countedFrom = countedFrom;
    }

    private SecondMetrics second(long at) {
        int index = (int) ((at - runStart) / 1_000_000_000L);
        while (seconds.size() <= index) {
            seconds.add(new SecondMetrics());
        }
        return seconds.get(index);
    }

    /** What an event at this time adds to a total: 0 during the warm-up, otherwise 1. */
    private int counted() {
        return clock >= countedFrom ? 1 : 0;
    }

    /** Sets the time for the {@code record} methods that take none. */
    public void setClock(long now) {
        clock = now;
    }

    /** Records that a client operation has ended, after all its attempts. */
    public void recordOperation(
            ClassModel classModel,
            boolean served,
            boolean rejected,
            long startedAt,
            long endedAt,
            int clientAttemptsUsed) {
        long latency = endedAt - startedAt;
        boolean inTime = served && latency <= classModel.requestClass().latencyObjectiveNs();
        SecondMetrics second = second(startedAt);
        second.offered++;
        second.inTime += inTime ? 1 : 0;
        second.late += served && !inTime ? 1 : 0;
        second.rejected += rejected ? 1 : 0;
        second.failed += served || rejected ? 0 : 1;
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
        classMetrics.rejected += rejected ? 1 : 0;
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

    /** Records an attempt sent to the server of this index. */
    public void recordAttempt(int server) {
        attempts += counted();
        second(clock).attempts++;
        while (attemptsByServer.size() <= server) {
            attemptsByServer.add(0L);
        }
        attemptsByServer.set(server, attemptsByServer.get(server) + 1);
    }

    public void recordHealthCheck() {
        healthChecks += counted();
    }

    public void recordConnection() {
        connections += counted();
    }

    /** Records that a node rejected a request. */
    public void recordRejection() {
        rejections += counted();
    }

    /** Records that the balancer wrote a log line. */
    public void recordLogLine() {
        logLines += counted();
    }

    /** Records the time that the balancer took for one event. */
    public void recordDecision(long ns) {
        decisions++;
        decisionNs += ns;
    }

    /** Records the requests in flight at each server. */
    public void recordInflight(long now, int[] inflight) {
        second(now).inflight = inflight;
    }

    /**
     * The weight of operations served in time over the weight of all operations; late ones count in
     * part. 1 if there were none.
     */
    public double goodput() {
        return offeredWeight == 0 ? 1 : goodWeight / offeredWeight;
    }

    /** The results of each class, in the order of the first operation. */
    public Map<String, ClassMetrics> classes() {
        return classes;
    }

    /** The latencies of all classes, in us. */
    public Histogram latencyUs() {
        Histogram all = new Histogram(MAX_LATENCY_US, HISTOGRAM_DIGITS);
        classes.values().forEach(classMetrics -> all.add(classMetrics.latencyUs));
        return all;
    }

    public List<SecondMetrics> seconds() {
        return seconds;
    }

    /** The number of attempts sent to each server, by its index. */
    public List<Long> attemptsByServer() {
        return attemptsByServer;
    }

    /**
     * The numbers of client operations, client attempts, attempts at servers, health checks, opened
     * connections, rejections and log lines.
     */
    public long[] totals() {
        return new long[] {
            operations, clientAttempts, attempts, healthChecks, connections, rejections, logLines
        };
    }

    /** The number of events passed to the balancer. */
    public long decisions() {
        return decisions;
    }

    /** The time that the balancer took for all events, in ns of this machine. */
    public long decisionNs() {
        return decisionNs;
    }
}
