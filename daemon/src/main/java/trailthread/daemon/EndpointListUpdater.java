package trailthread.daemon;

import java.util.ArrayList;
import java.util.List;
import trailthread.ListLease;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.engine.discovery.DiscoveredEndpoint;
import trailthread.engine.discovery.DiscoveryListener;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.request.RequestDispatcher;

/**
 * Passes the endpoint list and its lease from discovery to the endpoint pool, the dispatcher and
 * the metrics. Runs on the loop's thread.
 */
final class EndpointListUpdater implements DiscoveryListener {
    private final EventLoop loop;
    private final EndpointPool endpoints;
    private final RequestDispatcher requests;
    private final MetricsRecorder metrics;
    private final ListLease lease;

    /** Runs once the lease is held; null if nothing waits for it. */
    private Runnable onLeaseHeld;

    /**
     * Creates an updater whose lease is not held yet.
     *
     * @param lease on the endpoint list
     */
    EndpointListUpdater(
            EventLoop loop,
            EndpointPool endpoints,
            RequestDispatcher requests,
            MetricsRecorder metrics,
            ListLease lease) {
        this.loop = loop;
        this.endpoints = endpoints;
        this.requests = requests;
        this.metrics = metrics;
        this.lease = lease;
    }

    /** Starts with the list that the node had last; it is used once the lease is held. */
    void start(DiscoveryUpdate known) {
        publishLease();
        update(ListKind.CACHED, known, loop.now());
    }

    /**
     * Runs a task at once if the lease is held, else once it is or {@link #stopWaiting} is called.
     *
     * @return whether it has run already
     */
    boolean whenLeaseHeld(Runnable task) {
        if (lease.isHeld(loop.now())) {
            task.run();
            return true;
        }
        onLeaseHeld = task;
        return false;
    }

    /** Whether a task waits for the lease. */
    boolean isWaiting() {
        return onLeaseHeld != null;
    }

    /** Runs the task that waits for the lease, if there is one, without waiting any longer. */
    void stopWaiting() {
        Runnable task = onLeaseHeld;
        onLeaseHeld = null;
        if (task != null) {
            task.run();
        }
    }

    /** Notes that the list comes from another discovery service from now on. */
    void sourceChanged() {
        lease.recordSourceSwitch(loop.now());
    }

    /**
     * Applies reloaded settings.
     *
     * @param drainGraceNs how long after the announcement of a drain new requests may still be
     *     sent, in nanoseconds
     * @param pushed whether an agent pushes the list
     */
    void applySettings(long drainGraceNs, boolean pushed) {
        lease.applySettings(drainGraceNs, pushed);
        publishLease();
    }

    @Override
    public void listUpdated(DiscoveryUpdate update, long knownSince) {
        update(update.reset() ? ListKind.FULL : ListKind.DELTA, update, knownSince);
    }

    @Override
    public void listRequestFailed() {
        requests.updateEndpointList(ListKind.FAILED, List.of());
    }

    @Override
    public void listConfirmed(long asOf) {
        lease.renew(asOf);
        publishLease();
    }

    @Override
    public void pollFailed(long waitedSince) {
        lease.recordPollFailure(waitedSince, loop.now());
        publishLease();
    }

    private void publishLease() {
        endpoints.setListLeaseEnd(lease.until());
        requests.setListLeaseEnd(lease.until());
        if (lease.isHeld(loop.now())) {
            stopWaiting();
        }
    }

    private void update(ListKind kind, DiscoveryUpdate update, long knownSince) {
        endpoints.update(update, knownSince);
        List<EndpointEntry> entries = new ArrayList<>();
        for (DiscoveredEndpoint endpoint : update.instances()) {
            entries.add(endpoint.entry());
        }
        metrics.endpointListUpdated(kind, entries);
        requests.updateEndpointList(kind, entries);
    }
}
