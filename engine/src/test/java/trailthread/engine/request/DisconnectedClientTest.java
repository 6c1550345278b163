package trailthread.engine.request;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.After;
import org.junit.Test;
import trailthread.engine.loop.EventLoop;

/** A request whose client disconnects early is not sent to an endpoint. */
public class DisconnectedClientTest {
    private final EventLoop loop;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    public DisconnectedClientTest() throws IOException {
        loop = new EventLoop("disconnected-client");
    }

    @After
    public void closeLoopAndServer() throws IOException {
        loop.xnioWorker().shutdownNow();
        server.close();
    }

    /** Prevents an endpoint from working for a client that has disconnected. */
    @Test
    public void anAttemptThatHasNotStartedIsNotSent() throws Exception {
        SingleEndpointDispatcher singleEndpoint =
                new SingleEndpointDispatcher(loop, server.getLocalPort());
        loop.execute(
                () -> {
                    singleEndpoint.listEndpoint();
                    Runnable disconnected = singleEndpoint.admit("disconnected", method -> {});
                    // The balancer has decided on the attempt, which starts in a later task.
                    disconnected.run();
                    assertFalse(singleEndpoint.dispatcher.isOpen("disconnected"));
                    singleEndpoint.admit("connected", method -> {});
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
            assertEquals("X-Correlation-Id: connected", id);
        }
    }
}
