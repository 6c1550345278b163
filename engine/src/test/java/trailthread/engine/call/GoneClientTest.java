package trailthread.engine.call;

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
import trailthread.engine.discovery.DiscoveryEntry;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.loop.Account;
import trailthread.engine.loop.Loop;
import trailthread.engine.meter.Meter;
import trailthread.engine.worker.ConnectionRoom;
import trailthread.engine.worker.Workers;

/** What becomes of a call whose client goes away. */
public class GoneClientTest {
    private static final long LONG_NS = 60_000_000_000L;
    private final Loop loop;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    public GoneClientTest() throws IOException {
        loop = new Loop("gone");
    }

    @After
    public void end() throws IOException {
        loop.worker().shutdownNow();
        server.close();
    }

    private static ClientCall call(String id) {
        return new ClientCall(
                id, "use", null, LONG_NS, false, 0, 0, "POST", "/use", null, new byte[4], null);
    }

    private static Reply anyReply() {
        return (Reply)
                Proxy.newProxyInstance(
                        Reply.class.getClassLoader(),
                        new Class<?>[] {Reply.class},
                        (proxy, method, args) -> null);
    }

    /** It was written all the same, and ran for nobody. */
    @Test
    public void whatHasNotBegunIsNotWrittenAnyMore() throws Exception {
        Settings settings = new Settings();
        settings.classes.add(
                new RequestClass(
                        "use",
                        LONG_NS,
                        0,
                        LONG_NS,
                        Idempotency.NOT_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0));
        Workers workers =
                new Workers(loop, LONG_NS, LONG_NS, 0, ConnectionRoom.of(4), 0, Account.NONE);
        Calls calls = new Calls(loop, workers, settings, 1, Meter.OFF);
        loop.execute(
                () -> {
                    workers.update(
                            new DiscoveryUpdate(
                                    1,
                                    true,
                                    List.of(
                                            new DiscoveryEntry(
                                                    "w",
                                                    "127.0.0.1:" + server.getLocalPort(),
                                                    "a",
                                                    0,
                                                    EndpointState.READY,
                                                    1,
                                                    0))),
                            loop.now());
                    calls.list(
                            ListKind.FULL,
                            List.of(new EndpointEntry("w", 1, EndpointState.READY, "a", 0, 0)));
                    Runnable gone = calls.take(call("left"), loop.now() + LONG_NS, anyReply());
                    gone.run(); // the attempt has been decided on, and starts after this
                    assertFalse(calls.isOpen("left"));
                    calls.take(call("stays"), loop.now() + LONG_NS, anyReply());
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
