package trailthread.engine.request;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.function.Consumer;
import trailthread.api.DeduplicationScope;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Idempotency;
import trailthread.api.ListKind;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.engine.discovery.DiscoveredEndpoint;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.endpoint.ConnectionLimit;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;

/** A dispatcher with one endpoint and one class of requests, whose timeouts are a minute. */
final class SingleEndpointDispatcher {
    private static final long TIMEOUT_NS = 60_000_000_000L;
    private static final int MAX_CONNECTIONS = 4;

    final RequestDispatcher dispatcher;
    private final EventLoop loop;
    private final EndpointPool endpoints;
    private final int port;

    /**
     * Creates a dispatcher whose endpoint is not listed yet.
     *
     * @param port where the endpoint listens, on loopback
     */
    SingleEndpointDispatcher(EventLoop loop, int port) {
        this.loop = loop;
        this.port = port;
        endpoints =
                new EndpointPool(
                        loop,
                        TIMEOUT_NS,
                        TIMEOUT_NS,
                        0,
                        ConnectionLimit.of(MAX_CONNECTIONS),
                        0,
                        CpuAccount.NONE);
        dispatcher = new RequestDispatcher(loop, endpoints, settings(), 1, MetricsRecorder.OFF);
    }

    private static Settings settings() {
        Settings settings = new Settings();
        settings.classes.add(
                new RequestClass(
                        "use",
                        TIMEOUT_NS,
                        0,
                        TIMEOUT_NS,
                        Idempotency.NOT_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0));
        return settings;
    }

    /** Adds the endpoint to the list. To be called on the loop's thread. */
    void listEndpoint() {
        DiscoveredEndpoint endpoint =
                new DiscoveredEndpoint("w", "127.0.0.1:" + port, "a", 0, EndpointState.READY, 1, 0);
        endpoints.update(new DiscoveryUpdate(1, true, List.of(endpoint)), loop.now());
        EndpointEntry entry = new EndpointEntry("w", 1, EndpointState.READY, "a", 0, 0);
        dispatcher.updateEndpointList(ListKind.FULL, List.of(entry));
    }

    /**
     * Admits a request. To be called on the loop's thread.
     *
     * @param onCall receives the name of each method that is called on the request's response
     * @return a task to run when the client disconnects
     */
    Runnable admit(String id, Consumer<String> onCall) {
        ClientRequest request =
                new ClientRequest(
                        id,
                        "use",
                        null,
                        TIMEOUT_NS,
                        false,
                        0,
                        0,
                        "POST",
                        "/use",
                        null,
                        new byte[4],
                        null);
        return dispatcher.handle(request, loop.now() + TIMEOUT_NS, response(onCall));
    }

    private static ClientResponse response(Consumer<String> onCall) {
        return (ClientResponse)
                Proxy.newProxyInstance(
                        ClientResponse.class.getClassLoader(),
                        new Class<?>[] {ClientResponse.class},
                        (proxy, method, args) -> {
                            onCall.accept(method.getName());
                            return method.getReturnType() == boolean.class ? true : null;
                        });
    }
}
