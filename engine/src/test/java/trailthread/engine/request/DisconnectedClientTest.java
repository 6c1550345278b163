package trailthread.engine.request;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.After;
import org.junit.Test;
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

/** What becomes of a request whose client disconnects. */
public class DisconnectedClientTest {
    private static final long TIMEOUT_NS = 60_000_000_000L;
    private final EventLoop loop;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    public DisconnectedClientTest() throws IOException {
        loop = new EventLoop("gone");
    }

    @After
    public void end() throws IOException {
        loop.worker().shutdownNow();
        server.close();
    }

    private static ClientRequest request(String id) {
        return new ClientRequest(
                id, "use", null, TIMEOUT_NS, false, 0, 0, "POST", "/use", null, new byte[4], null);
    }

    private static ClientResponse ignoringResponse() {
        return (ClientResponse)
                Proxy.newProxyInstance(
                        ClientResponse.class.getClassLoader(),
                        new Class<?>[] {ClientResponse.class},
                        (proxy, method, args) -> null);
    }

    /** Prevents an endpoint from working for a client that has disconnected. */
    @Test
    public void anAttemptThatHasNotBegunIsNotWritten() throws Exception {
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
        EndpointPool endpoints =
                new EndpointPool(
                        loop, TIMEOUT_NS, TIMEOUT_NS, 0, ConnectionLimit.of(4), 0, CpuAccount.NONE);
        RequestDispatcher dispatcher =
                new RequestDispatcher(loop, endpoints, settings, 1, MetricsRecorder.OFF);
        loop.execute(
                () -> {
                    endpoints.update(
                            new DiscoveryUpdate(
                                    1,
                                    true,
                                    List.of(
                                            new DiscoveredEndpoint(
                                                    "w",
                                                    "127.0.0.1:" + server.getLocalPort(),
                                                    "a",
                                                    0,
                                                    EndpointState.READY,
                                                    1,
                                                    0))),
                            loop.now());
                    dispatcher.list(
                            ListKind.FULL,
                            List.of(new EndpointEntry("w", 1, EndpointState.READY, "a", 0, 0)));
                    Runnable disconnected =
                            dispatcher.take(
                                    request("left"), loop.now() + TIMEOUT_NS, ignoringResponse());
                    // The attempt has been decided on, and starts after this.
                    disconnected.run();
                    assertFalse(dispatcher.isOpen("left"));
                    dispatcher.take(request("stays"), loop.now() + TIMEOUT_NS, ignoringResponse());
                });
        try (Socket connection = server.accept()) {
            String id =
                    new BufferedReader(
                                    new InputStreamReader(
                                            connection.getInputStream(), StandardCharsets.US_ASCII))
                            .lines()
                            .filter(line -> line.startsWith("X-Correlation-Id: "))
                            .findFirst()
                            .orElseThrow();
            assertEquals("X-Correlation-Id: stays", id);
        }
    }
}
