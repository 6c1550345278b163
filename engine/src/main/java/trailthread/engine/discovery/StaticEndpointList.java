package trailthread.engine.discovery;

import java.util.List;
import trailthread.api.EndpointState;
import trailthread.engine.loop.EventLoop;

/** Endpoints that are given once and for all: always ready, as far as a list can tell. */
public final class StaticEndpointList implements EndpointListSource {
    private final EventLoop loop;
    private final DiscoveryUpdate update;
    private final DiscoveryListener listener;
    private boolean closed;

    /**
     * Makes one.
     *
     * @param hostPorts each address:port; an endpoint's id is its address
     */
    public StaticEndpointList(EventLoop loop, List<String> hostPorts, DiscoveryListener listener) {
        this.loop = loop;
        this.listener = listener;
        update =
                new DiscoveryUpdate(
                        0,
                        true,
                        hostPorts.stream()
                                .map(
                                        hostPort ->
                                                new DiscoveredEndpoint(
                                                        hostPort,
                                                        hostPort,
                                                        "",
                                                        -1,
                                                        EndpointState.READY,
                                                        1,
                                                        0))
                                .toList());
    }

    @Override
    public void start() {
        fetch();
    }

    @Override
    public void known(DiscoveryUpdate ignored) {
        // it knows better
    }

    @Override
    public void watch(boolean on) {
        // it never changes
    }

    @Override
    public void fetch() {
        loop.execute(
                () -> {
                    if (!closed) {
                        listener.told(update, loop.now());
                    }
                });
    }

    @Override
    public void close() {
        closed = true;
    }
}
