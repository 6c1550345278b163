package trailthread.engine.discovery;

import java.util.List;
import trailthread.api.EndpointState;
import trailthread.engine.loop.EventLoop;

/** A fixed endpoint list from the configuration; every endpoint in it counts as ready. */
public final class StaticEndpointList implements EndpointListSource {
    private static final int NO_CELL = -1;
    private static final double DEFAULT_WEIGHT = 1;
    private static final long START_UNKNOWN = 0;

    private final EventLoop loop;
    private final DiscoveryUpdate update;
    private final DiscoveryListener listener;
    private boolean closed;

    /**
     * Creates a source that reports the list once it is started.
     *
     * @param hostPorts each address:port; an endpoint's id is its address
     */
    public StaticEndpointList(EventLoop loop, List<String> hostPorts, DiscoveryListener listener) {
        this.loop = loop;
        this.listener = listener;
        update =
                new DiscoveryUpdate(
                        0, true, hostPorts.stream().map(StaticEndpointList::endpoint).toList());
    }

    private static DiscoveredEndpoint endpoint(String hostPort) {
        return new DiscoveredEndpoint(
                hostPort,
                hostPort,
                "",
                NO_CELL,
                EndpointState.READY,
                DEFAULT_WEIGHT,
                START_UNKNOWN);
    }

    @Override
    public void start() {
        fetch();
    }

    @Override
    public void setKnownList(DiscoveryUpdate ignored) {
        // the configuration takes precedence over an earlier list
    }

    @Override
    public void watch(boolean on) {
        // the list never changes
    }

    @Override
    public void fetch() {
        loop.execute(this::report);
    }

    private void report() {
        if (!closed) {
            listener.listUpdated(update, loop.now());
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
