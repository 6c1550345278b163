package trailthread.daemon;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Idempotency;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.engine.discovery.DiscoveredEndpoint;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.endpoint.AttemptResult;
import trailthread.engine.endpoint.ConnectionLimit;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.endpoint.EndpointRequest;
import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;
import trailthread.engine.request.RequestDispatcher;
import trailthread.engine.request.RequestHandler;

/**
 * Takes calls of the node's own through the whole path before clients come, so that their first
 * calls do not wait for classes to load and code to be compiled. The node is client and endpoint of
 * these calls, over its own address; a module of their own decides on them, and no real endpoint
 * hears of them: one that was given up may lie unread until long after the last, so each call that
 * is read is looked at, for as long as the node runs.
 */
final class LoopbackWarmUp implements RequestHandler {
    private static final Logger LOG = LoggerFactory.getLogger(LoopbackWarmUp.class);
    private static final String SELF = "self";

    /**
     * By then what a call takes has been compiled; the next ones take a tenth of the first ones'
     * time.
     */
    private static final int MOST_CALLS = 1000;

    /** The first ones load what all need, and take a hundred times as long as those that follow. */
    private static final int LEAST_CALLS = 3;

    /**
     * So long it takes on half a core until code is compiled; nobody waits for a node of an idle
     * fleet.
     */
    private static final long LONGEST_NS = 2_500_000_000L;

    /** A start takes no longer where nothing is known of the fleet... */
    private static final long UNKNOWING_NS = 1_500_000_000L;

    /**
     * ...and where it is at work: the rest of the nodes serve this one's clients meanwhile, but
     * where nodes are restarted in turn, the next one has gone by then.
     */
    private static final long HURRIED_NS = 100_000_000L;

    private static final long DRILL_NS = 50_000_000L;

    /**
     * Clients that come in a crowd open connections, and many are refused: that must be no slower.
     */
    private static final int CALLS_A_CONNECTION = 2;

    private static final int CALLS_A_REFUSAL = 3;
    private static final int DRILL_STEPS = 300;
    private static final long CALL_WITHIN_NS = 500_000_000L;
    private static final byte[] BODY = "x".repeat(512).getBytes(StandardCharsets.US_ASCII);

    private final EventLoop loop;
    private final NodeConfig config;

    /** What takes the calls that are a client's. */
    private final RequestHandler real;

    private final EndpointPool endpoints;
    private final RequestDispatcher calls;

    /** Ids of the node's own calls begin so; no client's does. */
    private final String prefix;

    private final Set<String> attempted = new HashSet<>();
    private Runnable done;
    private long startedAt;
    private long endsAt;
    private boolean hurried;
    private boolean patient;
    private int count;
    private boolean over;

    LoopbackWarmUp(EventLoop loop, NodeConfig config, RequestHandler real) {
        this.loop = loop;
        this.config = config;
        this.real = real;
        prefix = "warm-up-" + Long.toHexString(config.seed()) + "-";
        endpoints =
                new EndpointPool(
                        loop,
                        config.settings().connectTimeoutNs,
                        config.idleCloseNs(),
                        config.drainGraceNs(),
                        ConnectionLimit.of(16),
                        config.settings().latencyResolutionNs(),
                        CpuAccount.NONE);
        calls =
                new RequestDispatcher(
                        loop, endpoints, config.settings(), config.seed(), MetricsRecorder.OFF);
    }

    /**
     * Makes calls to the node's own address for a while.
     *
     * @param asked whether endpoints are asked for their load meanwhile, see {@link #told}
     * @param patient whether another process of this node serves its clients meanwhile: nothing is
     *     in a hurry then
     */
    void start(InetSocketAddress self, boolean asked, boolean patient, Runnable whenDone) {
        done = whenDone;
        this.patient = patient;
        startedAt = loop.now();
        endsAt = startedAt + (asked || patient ? LONGEST_NS : UNKNOWING_NS);
        String hostPort = self.getAddress().getHostAddress() + ":" + self.getPort();
        endpoints.update(
                new DiscoveryUpdate(
                        0,
                        true,
                        List.of(
                                new DiscoveredEndpoint(
                                        SELF,
                                        hostPort,
                                        config.settings().zone,
                                        0,
                                        EndpointState.READY,
                                        1,
                                        0))),
                loop.now());
        calls.list(
                ListKind.FULL,
                List.of(
                        new EndpointEntry(
                                SELF, 1, EndpointState.READY, config.settings().zone, 0, 0)));
        drill();
        next(null);
    }

    /**
     * An endpoint has told its load, or none (null): one that holds requests says that the fleet is
     * at work.
     */
    void told(LoadReport load) {
        if (patient) {
            return;
        }
        if (load == null) {
            endsAt = Math.min(endsAt, startedAt + UNKNOWING_NS);
        } else if (load.inflight() > 0 || load.queue() > 0) {
            endsAt = Math.min(endsAt, startedAt + HURRIED_NS);
            hurried = true;
        }
    }

    /** As the node calls itself alone, decisions among many endpoints are practised apart. */
    private void drill() {
        DecisionWarmUp drill = new DecisionWarmUp(config.settings(), config.seed());
        long until = loop.now() + DRILL_NS;
        for (int i = 0; i < DRILL_STEPS && loop.now() < until; i++) {
            drill.step();
        }
    }

    private void next(AttemptResult last) {
        // On a busy machine the first call alone may take its whole time: the next ones find what
        // it has loaded.
        boolean works =
                last == null
                        || last.outcome() == Outcome.OK
                        || last.outcome() == Outcome.ERROR
                        || last.outcome() == Outcome.TIMEOUT;
        if (count == MOST_CALLS || (count >= LEAST_CALLS && loop.now() > endsAt) || !works) {
            LOG.info(
                    "warmed up with {} calls{}{}",
                    count,
                    hurried ? ", as workers are busy" : "",
                    works ? "" : ", the last one not served");
            endpoints.update(new DiscoveryUpdate(0, true, List.of()), loop.now());
            over = true;
            done.run();
            return;
        }
        if (count % CALLS_A_CONNECTION == 0) {
            endpoints.closeIdle(SELF);
        }
        List<RequestClass> classes = config.settings().classes;
        RequestClass c = classes.get(count++ % classes.size());
        boolean safe = c.idempotency() == Idempotency.IDEMPOTENT;
        String id = prefix + count;
        endpoints.attempt(
                SELF,
                new EndpointRequest(
                        id,
                        c.name(),
                        safe ? "GET" : "POST",
                        "/" + c.name(),
                        c.idempotency() == Idempotency.IDEMPOTENCY_KEY ? id : null,
                        safe ? new byte[0] : BODY,
                        null),
                CALL_WITHIN_NS,
                this::next);
    }

    @Override
    public boolean isOpen(String id) {
        return real.isOpen(id);
    }

    /** The node's own calls come twice: as a client's, and then as they reach the endpoint. */
    @Override
    public Runnable take(ClientRequest call, long deadline, ClientResponse reply) {
        if (!call.id().startsWith(prefix)) {
            return real.take(call, deadline, reply);
        }
        if (over) {
            reply.failed();
            return () -> {};
        }
        if (count % CALLS_A_REFUSAL == 0) {
            reply.refused(CALL_WITHIN_NS);
            return () -> {};
        }
        if (attempted.add(call.id())) {
            return calls.take(call, deadline, reply);
        }
        reply.served(EndpointResponse.of(BODY));
        return () -> {};
    }
}
