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

/** What becomes of a request whose client disconnects. */
public class DisconnectedClientTest {
    private final EventLoop loop;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    public DisconnectedClientTest() throws IOException {
        loop = new EventLoop("gone");
    }

    @After
    public void end() throws IOException {
        loop.xnioWorker().shutdownNow();
        server.close();
    }

    /** Prevents an endpoint from working for a client that has disconnected. */
    @Test
    public void anAttemptThatHasNotBegunIsNotWritten() throws Exception {
        SingleEndpointDispatcher endpoint =
                new SingleEndpointDispatcher(loop, server.getLocalPort());
        loop.execute(
                () -> {
                    endpoint.list();
                    Runnable disconnected = endpoint.take("left", method -> {});
                    // The attempt has been decided on, and starts after this.
                    disconnected.run();
                    assertFalse(endpoint.dispatcher.isOpen("left"));
                    endpoint.take("stays", method -> {});
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
