package trailthread.daemon;

import java.net.InetSocketAddress;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.EndpointState;
import trailthread.api.LoadReportSource;
import trailthread.engine.discovery.DiscoveredEndpoint;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.loop.EventLoop;

/**
 * The steps from a node's start to its first client: probes endpoints for the load of the fleet,
 * warms up accordingly, and waits for the endpoint list. Runs on the loop's thread.
 */
final class StartSequence {
    private static final Logger LOG = LoggerFactory.getLogger(StartSequence.class);

    /** How many endpoints are probed: a single one may happen to be idle. */
    private static final int PROBED_ENDPOINTS = 4;

    private static final long PROBE_TIMEOUT_NS = 300_000_000L;

    /**
     * How long a start waits for the endpoint list before the node becomes ready without one. The
     * first polls of a fleet are spread over the same time. If no other node is up, clients then
     * get rejections instead of no response.
     */
    private static final long LIST_TIMEOUT_NS = 4_500_000_000L;

    private static final long NS_PER_MS = 1_000_000L;

    private final EventLoop loop;
    private final NodeConfig config;
    private final EndpointPool endpoints;
    private final EndpointListUpdater endpointList;
    private final LoopbackWarmUp loopbackWarmUp;
    private final long startedAt;

    /** Creates a sequence whose times count from now. */
    StartSequence(
            EventLoop loop,
            NodeConfig config,
            EndpointPool endpoints,
            EndpointListUpdater endpointList,
            LoopbackWarmUp loopbackWarmUp) {
        this.loop = loop;
        this.config = config;
        this.endpoints = endpoints;
        this.endpointList = endpointList;
        this.loopbackWarmUp = loopbackWarmUp;
        startedAt = loop.now();
    }

    /**
     * Runs the sequence.
     *
     * @param ownAddress where the node listens
     * @param replacesProcess whether another process of the node serves its clients meanwhile
     * @param whenReady runs when the node may serve clients
     */
    void run(InetSocketAddress ownAddress, boolean replacesProcess, Runnable whenReady) {
        boolean probing = probeEndpoints();
        DecisionWarmUp.run(loop, config.settings(), config.seed());
        loopbackWarmUp.start(
                ownAddress,
                new LoopbackWarmUp.Start(startedAt, probing, replacesProcess),
                () -> awaitList(whenReady));
    }

    /**
     * Probes some endpoints for their load, if the settings allow it.
     *
     * @return whether any endpoint is being probed
     */
    private boolean probeEndpoints() {
        boolean allowed =
                config.settings().mayCheckHealth
                        && config.settings().reports != LoadReportSource.NONE;
        if (!allowed) {
            return false;
        }
        List<String> probed =
                config.knownEndpoints().instances().stream()
                        .filter(endpoint -> endpoint.lifecycle() == EndpointState.READY)
                        .limit(PROBED_ENDPOINTS)
                        .map(DiscoveredEndpoint::instanceId)
                        .toList();
        for (String endpoint : probed) {
            endpoints.checkHealth(
                    endpoint,
                    PROBE_TIMEOUT_NS,
                    result -> loopbackWarmUp.loadReported(result.load()));
        }
        return !probed.isEmpty();
    }

    /**
     * Runs a task once the node has an endpoint list. Until then the node is not ready and gets no
     * requests, as it could only reject them.
     */
    private void awaitList(Runnable task) {
        if (endpointList.whenLeaseHeld(task)) {
            return;
        }
        LOG.info("waiting for the endpoint list before becoming ready");
        loop.schedule(startedAt + LIST_TIMEOUT_NS - loop.now(), this::listTimedOut);
    }

    private void listTimedOut() {
        if (endpointList.isWaiting()) {
            LOG.warn(
                    "no endpoint list after {} ms: becoming ready without it",
                    (loop.now() - startedAt) / NS_PER_MS);
            endpointList.stopWaiting();
        }
    }
}
