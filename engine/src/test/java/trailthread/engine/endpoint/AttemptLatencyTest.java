package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import trailthread.api.Outcome;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/** The latency that an attempt reports. */
public class AttemptLatencyTest {
    private static final long LONG_NS = 60_000_000_000L;

    /**
     * Prevents an endpoint that gets few requests from looking slow because of its connects, and so
     * from getting even fewer requests.
     */
    @Test
    public void openingAConnectionDoesNotCountAsLatency() throws Exception {
        EventLoop loop = new EventLoop("test");
        EndpointPool endpoints =
                new EndpointPool(
                        loop, LONG_NS, LONG_NS, 0, ConnectionLimit.of(16), 0, CpuAccount.NONE);
        BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(server.getInetAddress(), server.getLocalPort());
                Socket second = new Socket(server.getInetAddress(), server.getLocalPort())) {
            loop.execute(
                    () -> {
                        endpoints.update(
                                EndpointFixture.listing(server.getLocalPort()), loop.now());
                        endpoints.attempt(
                                "w",
                                new EndpointRequest(
                                        "1", "use", "POST", "/use", null, new byte[4], null),
                                LONG_NS,
                                results::add);
                    });
            assertTrue(first.isConnected() && second.isConnected());
            Thread.sleep(200); // the backlog is full, so the connect gets no reply
            long connectBlockedUntil = loop.now();
            server.accept().close();
            server.accept().close();
            try (Socket late = server.accept()) {
                assertTrue(late.getInputStream().read() >= 0);
                OutputStream out = late.getOutputStream();
                String response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
                out.write(response.getBytes(StandardCharsets.US_ASCII));
                AttemptResult result = results.poll(30, TimeUnit.SECONDS);
                assertNotNull("the attempt ends", result);
                assertEquals(Outcome.OK, result.outcome());
                assertTrue(result.latencyNs() <= loop.now() - connectBlockedUntil);
            }
        } finally {
            loop.xnioWorker().shutdownNow();
        }
        assertTrue("the attempt ended only once", results.isEmpty());
    }
}
