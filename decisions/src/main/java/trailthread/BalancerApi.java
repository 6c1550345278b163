package trailthread;

import java.util.ArrayList;
import java.util.List;

/**
 * What a host and a {@link Balancer} say to each other: settings, types, events in, actions out.
 *
 * <p>All times are nanoseconds of the host's own monotonic clock, which may start anywhere. A
 * balancer is confined to one thread at a time; two balancers share nothing.
 */
public final class BalancerApi {
    private BalancerApi() {}

    /** Whether a request of a class may run more than once. */
    public enum Semantics {
        /** Repeats are harmless. */
        SAFE,
        /** Repeats are dropped by the backends of one group, for a window. */
        KEYED,
        /** Must never run twice. */
        UNSAFE
    }

    /** Which backends drop a repeat of a {@link Semantics#KEYED} request. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How one attempt or probe ended. */
    public enum Outcome {
        /** Served. */
        OK(true),
        /** The backend answered with an error. */
        ERROR(true),
        /** Rejected without being looked at. */
        FULL(false),
        /** No reply in time. */
        TIMEOUT(true),
        /** No connection could be made. */
        CONNECT_FAILED(false),
        /** The connection dropped with the attempt in flight. */
        RESET(true),
        /** Called off by this node. */
        CANCELLED(true),
        /**
         * Never sent, or not to its last byte: the request was over, or out of time or attempts.
         */
        MOOT(false);

        private final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }

        /**
         * Whether an attempt that ended so may have had its effect. This is the only place that
         * says so.
         */
        public boolean mayHaveRun() {
            return mayHaveRun;
        }
    }

    /** What the list says of a backend. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** What a list event holds. */
    public enum ListKind {
        /** Only entries that changed. */
        DELTA,
        /** The whole list. */
        FULL,
        /** The whole list as this node last had it, perhaps old. */
        CACHED,
        /** A watch or a fetch failed; no entries. */
        FAILED
    }

    /** What {@link Entry#weight} means. */
    public enum Weights {
        NONE,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** How load reports reach the node. */
    public enum Reports {
        ANSWERS,
        PROBES,
        NONE
    }

    /**
     * A class of requests.
     *
     * @param aimNs an answer within this earns full worth
     * @param aimStretch the aim grows by this multiple of the request's own work; 0 for none
     * @param deadlineNs how long a client waits in all, over all its tries
     * @param group for keyed classes, who drops repeats
     * @param windowNs for keyed classes, for how long
     * @param worth what one answer is worth
     * @param lateWorth the share of it earned after the aim
     */
    public record RequestClass(
            String name,
            long aimNs,
            double aimStretch,
            long deadlineNs,
            Semantics semantics,
            Group group,
            long windowNs,
            double worth,
            double lateWorth) {}

    /** A tenant and what it may send, over all nodes, before its requests lose their worth. */
    public record Tenant(String name, double quotaPerSecond, double share) {}

    /**
     * One backend as the list names it.
     *
     * @param readyAtNs when it last started; 0: long ago
     * @param cell its cell number, or -1
     */
    public record Entry(
            String backend, double weight, State state, String zone, long readyAtNs, int cell) {}

    /** A load report; NaN where a value is absent. */
    public record Load(
            double inflight, double queue, double util, double latencyMs, double qps, double eps) {}

    /** Settings, each with its default. A balancer reads them when it is made or retuned. */
    public static final class Settings {
        /** The least time between two events with different clocks. */
        public long tickNs = 1_000_000;

        /** This node's number, and how many nodes there are. */
        public int me;

        public int nodes = 1;
        public String zone = "";
        public final List<RequestClass> classes = new ArrayList<>();
        public final List<Tenant> tenants = new ArrayList<>();

        /** Worth of a request past its tenant's quota, as a share. */
        public double overShareWorth = 1;

        /** Worth is counted per unit of work, not per request. */
        public boolean worthByWork;

        /** Weights of the goal's parts. */
        public double goalWhole = 1;

        public double goalWorstWindow;
        public double goalWorstClass;
        public double goalWorstTenant;

        /** Price of one attempt to another zone, as a share of the goal. */
        public double priceCrossZone;

        /** What the goal loses for a hundred open connections a backend, over all nodes. */
        public double priceConnection;

        public boolean mayCancel;
        public boolean mayProbe;
        public boolean mayTellPeers;
        public boolean secondCopies;
        public int maxAttempts = 3;

        /** Whether clients hear advice on when to return, and the longest that they heed. */
        public boolean retryAfter;

        public long maxRetryAfterNs;
        public long connectTimeoutNs = 200_000_000;

        /** The list must be asked for. */
        public boolean listOnRequest;

        public Weights weights = Weights.NONE;
        public Reports reports = Reports.NONE;

        /** A backend that served a key lately serves it for less work. */
        public boolean warmKeys;

        /** How far past the client's deadline a final answer still counts. */
        public long answerSlackNs = 10_000_000;

        /** Without a watch, ask for the list at least this often. */
        public long askEveryNs = 10_000_000_000L;

        /** A cold backend can do at least this share, and all after {@link #coldNs}. */
        public double coldShare = 0.1;

        public long coldNs = 30_000_000_000L;

        /** Sent this multiple of what it can do for {@link #fallNs}, a cold backend falls over. */
        public double fallMultiple = 2;

        public long fallNs = 1_000_000_000;

        /**
         * Differences in the latency of answers that matter to nobody: a fiftieth of the tightest
         * aim.
         */
        public long finestNs() {
            return classes.stream().mapToLong(RequestClass::aimNs).min().orElse(0) / 50;
        }

        /** Throws an IllegalArgumentException that names the first setting that makes no sense. */
        public void check() {
            require(!classes.isEmpty(), "classes: at least one is needed");
            for (RequestClass c : classes) {
                String at = "class " + c.name() + ": ";
                require(c.aimNs() >= 0, at + "aimNs is negative");
                require(c.deadlineNs() > 0, at + "deadlineNs is not above 0");
                require(c.windowNs() >= 0, at + "windowNs is negative");
                require(
                        c.worth() >= 0 && c.lateWorth() >= 0,
                        at + "worth or lateWorth is negative");
            }
            require(tickNs >= 0, "tickNs: negative");
            require(nodes >= 1, "nodes: below 1");
            require(maxAttempts >= 1, "maxAttempts: below 1");
            require(answerSlackNs >= 0, "answerSlackNs: negative");
            require(askEveryNs > 0, "askEveryNs: not above 0");
            require(coldShare > 0 && coldShare <= 1, "coldShare: not in (0, 1]");
            require(coldNs >= 0, "coldNs: negative");
            require(fallNs > 0, "fallNs: not above 0");
            require(fallMultiple > 0, "fallMultiple: not above 0");
        }

        static void require(boolean holds, String otherwise) {
            if (!holds) {
                throw new IllegalArgumentException(otherwise);
            }
        }
    }

    /** Which requests the host allows for now. */
    public interface Admission {
        /**
         * Whether a request is taken; one that is not is turned away at once.
         *
         * @param overQuota its tenant has had this node's part of its quota
         * @param random uniform in [0, 1), drawn for this request
         */
        boolean takes(String requestClass, boolean overQuota, double random);
    }

    /** What the host tells the balancer. Times never go back. */
    public interface Events {
        /** News of the backends. */
        void list(long now, ListKind kind, List<Entry> entries);

        /**
         * A client's request. It gets one final answer: an {@link Outcome#OK} outcome that closes
         * it, {@link Actions#refuse} or {@link Actions#fail}.
         *
         * @param workNs expected work on a standard core; 0: not known
         * @param tenant or null
         * @param key what it concerns; 0: none
         * @throws IllegalArgumentException if the settings hold no such class
         */
        void request(
                long now,
                long id,
                String requestClass,
                long workNs,
                long deadline,
                String tenant,
                boolean repeat,
                long key);

        /** The answer to a streamed request has begun on this attempt. */
        void firstByte(long now, long id, int attempt);

        /**
         * How an attempt ended.
         *
         * @param latency in nanoseconds; -1 where the host can't tell its own lateness from it
         * @param closed the client has its answer
         * @param load or null
         */
        void outcome(
                long now,
                long id,
                int attempt,
                Outcome outcome,
                long latency,
                boolean closed,
                Load load);

        /** The client went away; no answer is owed. */
        void gone(long now, long id);

        /** A timer asked for by {@link Actions#timer} is due. */
        void timer(long now, long token);

        /** How a probe ended; {@code load} may be null. */
        void probed(long now, String backend, Outcome outcome, long latency, Load load);

        /**
         * The list may be acted on until this time, by the clock of the events: after it, nothing
         * is sent. A host that says nothing of it has a list that is good for ever.
         */
        default void listUsable(long now, long until) {}

        /** What the host allows for now, until it says otherwise; null: everything. */
        default void admit(Admission admission) {}

        /** A message from another node; one that decides alone asks nothing of its peers. */
        default void peer(long now, int from, byte[] data) {}
    }

    /** What the balancer asks of its host, in order, within the event being handled. */
    public interface Actions {
        /**
         * Start an attempt; they are numbered from 0 by request.
         *
         * @param timeoutNs how long to wait for its end; 0: until the client gives up
         * @param writtenBy by the clock of the events: what has not been written by then never is.
         *     A host that writes later than it was asked to looks at its clock first, and tells
         *     {@link Outcome#MOOT} where it is too late
         */
        void send(long id, long timeoutNs, long writtenBy, String backend);

        /** Final answer: turned away, harmless to try again; {@code retryAfterNs} 0: no advice. */
        void refuse(long id, long retryAfterNs);

        /** Final answer: failed. */
        void fail(long id);

        /** Stop waiting for an attempt; its outcome still comes. */
        void cancel(long id, int attempt);

        /** Call {@link Events#timer} after this delay. */
        void timer(long delayNs, long token);

        /** Probe a backend. */
        void probe(String backend);

        /** Close idle connections to a backend. */
        void closeIdle(String backend);

        /** Message another node, or all (-1). */
        void tell(int peer, byte[] data);

        /** Watch the list, or stop watching. */
        void watch(boolean on);

        /** Fetch the whole list once. */
        void fetch();

        /** A line for the staff. */
        void log(String text);
    }
}
