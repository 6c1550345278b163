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
 * Warms a node up with requests that it sends to itself, so that the first requests of clients do
 * not wait for classes to be loaded and code to be compiled. {@link DecisionWarmUp} does the same
 * for decisions among many endpoints.
 *
 * <p>The node is both client and endpoint of these requests, over its own address. They use a
 * decision module and an endpoint pool of their own, and never reach a real endpoint. A warm-up
 * request that timed out may be read long after the warm-up has ended, so this handler stays in
 * front of the real one and checks the id of every request for as long as the node runs.
 */
final class LoopbackWarmUp implements RequestHandler {
    /**
     * What the length of the warm-up depends on.
     *
     * @param startedAt when the start began, by the loop's clock in nanoseconds
     * @param probing whether endpoints are being probed for their load, see {@link #loadReported}
     * @param replacesProcess whether another process of this node serves its clients meanwhile, so
     *     that the warm-up may take longer
     */
    record Start(long startedAt, boolean probing, boolean replacesProcess) {}

    private static final Logger LOG = LoggerFactory.getLogger(LoopbackWarmUp.class);
    private static final String SELF = "self";

    /** After this many requests, the code in use has been compiled. */
    private static final int MAX_REQUESTS = 1000;

    /** The first requests load the classes; they take far longer than those that follow. */
    private static final int MIN_REQUESTS = 3;

    /** Enough time to compile the code on half a core. Used if the fleet is idle. */
    private static final long IDLE_FLEET_NS = 2_500_000_000L;

    /** The time for a warm-up if the load of the fleet is not known. */
    private static final long UNKNOWN_FLEET_NS = 1_500_000_000L;

    /**
     * The time for a warm-up if the fleet is busy. The other nodes serve this node's clients
     * meanwhile, but in a rolling restart the next of them is about to shut down.
     */
    private static final long BUSY_FLEET_NS = 100_000_000L;

    /** Opening a connection is warmed up as well: many clients connect at once after a restart. */
    private static final int REQUESTS_PER_CONNECTION = 2;

    /** Rejecting a request is warmed up as well: many clients at once exceed the capacity. */
    private static final int REQUESTS_PER_REJECTION = 3;

    private static final int MAX_CONNECTIONS = 16;
    private static final long REQUEST_TIMEOUT_NS = 500_000_000L;
    private static final int BODY_BYTES = 512;
    private static final byte[] BODY = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.US_ASCII);

    private final EventLoop loop;
    private final NodeConfig config;

    /** Handles the requests of clients. */
    private final RequestHandler clientRequests;

    private final EndpointPool loopbackEndpoints;
    private final RequestDispatcher loopbackRequests;

    /** The ids of warm-up requests begin with this; no client's id does. */
    private final String idPrefix;

    /** The ids of warm-up requests that have arrived from the node as a client. */
    private final Set<String> dispatchedIds = new HashSet<>();

    private Start start;
    private Runnable whenDone;
    private long endsAt;
    private boolean fleetIsBusy;
    private int sentCount;
    private boolean finished;

    /**
     * Creates a warm-up that is not started.
     *
     * @param clientRequests handles all requests but the warm-up's
     */
    LoopbackWarmUp(EventLoop loop, NodeConfig config, RequestHandler clientRequests) {
        this.loop = loop;
        this.config = config;
        this.clientRequests = clientRequests;
        idPrefix = "warm-up-" + Long.toHexString(config.seed()) + "-";
        loopbackEndpoints =
                new EndpointPool(
                        loop,
                        config.settings().connectTimeoutNs,
                        config.idleCloseNs(),
                        config.drainGraceNs(),
                        ConnectionLimit.of(MAX_CONNECTIONS),
                        config.settings().latencyResolutionNs(),
                        CpuAccount.NONE);
        loopbackRequests =
                new RequestDispatcher(
                        loop,
                        loopbackEndpoints,
                        config.settings(),
                        config.seed(),
                        MetricsRecorder.OFF);
        loopbackRequests.useForLoopback();
    }

    /**
     * Sends requests to the node's own address for a while.
     *
     * @param ownAddress where the node listens
     * @param whenDone runs at the end
     */
    void start(InetSocketAddress ownAddress, Start start, Runnable whenDone) {
        this.start = start;
        this.whenDone = whenDone;
        boolean mayTakeLonger = start.probing() || start.replacesProcess();
        endsAt = start.startedAt() + (mayTakeLonger ? IDLE_FLEET_NS : UNKNOWN_FLEET_NS);
        setSelfAsEndpoint(ownAddress);
        sendNext();
    }

    private void setSelfAsEndpoint(InetSocketAddress ownAddress) {
        String hostPort = ownAddress.getAddress().getHostAddress() + ":" + ownAddress.getPort();
        String zone = config.settings().zone;
        DiscoveredEndpoint self =
                new DiscoveredEndpoint(SELF, hostPort, zone, 0, EndpointState.READY, 1, 0);
        loopbackEndpoints.update(new DiscoveryUpdate(0, true, List.of(self)), loop.now());
        EndpointEntry entry = new EndpointEntry(SELF, 1, EndpointState.READY, zone, 0, 0);
        loopbackRequests.updateEndpointList(ListKind.FULL, List.of(entry));
    }

    /**
     * Shortens the warm-up by an endpoint's load: requests in flight or queued there mean that the
     * fleet is busy.
     *
     * @param load null if the endpoint did not report it
     */
    void loadReported(LoadReport load) {
        // A probe that fails immediately reports before the warm-up has been started.
        if (start == null || start.replacesProcess()) {
            return;
        }
        if (load == null) {
            endsAt = Math.min(endsAt, start.startedAt() + UNKNOWN_FLEET_NS);
        } else if (load.inflight() > 0 || load.queue() > 0) {
            endsAt = Math.min(endsAt, start.startedAt() + BUSY_FLEET_NS);
            fleetIsBusy = true;
        }
    }

    private void attemptEnded(AttemptResult result) {
        if (wasServed(result.outcome())) {
            sendNext();
        } else {
            finish(", the last of which was not served");
        }
    }

    /**
     * Whether the node was able to serve itself. A timeout counts as well: on a busy machine the
     * first request may take all of its time to load the classes that the next ones need.
     */
    private static boolean wasServed(Outcome outcome) {
        return outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.TIMEOUT;
    }

    private void sendNext() {
        boolean timeIsUp = sentCount >= MIN_REQUESTS && loop.now() > endsAt;
        if (sentCount == MAX_REQUESTS || timeIsUp) {
            finish("");
            return;
        }
        if (sentCount % REQUESTS_PER_CONNECTION == 0) {
            loopbackEndpoints.closeIdle(SELF);
        }
        List<RequestClass> classes = config.settings().classes;
        RequestClass requestClass = classes.get(sentCount % classes.size());
        sentCount++;
        loopbackEndpoints.attempt(
                SELF,
                request(idPrefix + sentCount, requestClass),
                REQUEST_TIMEOUT_NS,
                this::attemptEnded);
    }

    private static EndpointRequest request(String id, RequestClass requestClass) {
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        boolean hasKey = requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY;
        return new EndpointRequest(
                id,
                requestClass.name(),
                idempotent ? "GET" : "POST",
                "/" + requestClass.name(),
                hasKey ? id : null,
                idempotent ? new byte[0] : BODY,
                null);
    }

    private void finish(String failure) {
        LOG.info(
                "warmed up with {} requests{}{}",
                sentCount,
                fleetIsBusy ? ", as endpoints are busy" : "",
                failure);
        loopbackEndpoints.update(new DiscoveryUpdate(0, true, List.of()), loop.now());
        finished = true;
        whenDone.run();
    }

    @Override
    public boolean isOpen(String id) {
        return clientRequests.isOpen(id);
    }

    @Override
    public boolean isSpent(String id) {
        return clientRequests.isSpent(id);
    }

    /**
     * Handles a request of a client or of the warm-up. The node receives each warm-up request
     * twice: first as from a client, then, once dispatched, as its endpoint.
     */
    @Override
    public Runnable handle(ClientRequest request, long deadline, ClientResponse response) {
        if (!request.id().startsWith(idPrefix)) {
            return clientRequests.handle(request, deadline, response);
        }
        if (!finished
                && sentCount % REQUESTS_PER_REJECTION != 0
                && dispatchedIds.add(request.id())) {
            return loopbackRequests.handle(request, deadline, response);
        }
        respond(response);
        return () -> {};
    }

    @Override
    public Runnable handleUnadmitted(
            ClientRequest request, long deadline, ClientResponse response) {
        if (!request.id().startsWith(idPrefix)) {
            return clientRequests.handleUnadmitted(request, deadline, response);
        }
        return RequestHandler.super.handleUnadmitted(request, deadline, response);
    }

    private void respond(ClientResponse response) {
        if (finished) {
            response.fail();
        } else if (sentCount % REQUESTS_PER_REJECTION == 0) {
            response.reject(REQUEST_TIMEOUT_NS);
        } else {
            response.respond(EndpointResponse.of(BODY));
        }
        response.onReleased();
    }
}
