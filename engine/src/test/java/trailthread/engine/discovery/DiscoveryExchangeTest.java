package trailthread.engine.discovery;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import trailthread.engine.loop.EventLoop;

/** One call to discovery. */
public class DiscoveryExchangeTest {
    private static final String LIST = "{\"generation\":9,\"reset\":true,\"instances\":[]}\n";
    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: " + LIST.length() + "\r\n\r\n" + LIST;

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    /** Guards against a list that discovery did not send in response to the call. */
    @Test
    public void aResponseBeforeTheCallIsNotItsList() throws Exception {
        EventLoop loop = new EventLoop("test");
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            DiscoveryExchange exchange =
                    new DiscoveryExchange(
                            loop,
                            (InetSocketAddress) server.getLocalSocketAddress(),
                            true,
                            "/v1/endpoints",
                            recorder());
            CountDownLatch responseWritten = new CountDownLatch(1);
            loop.execute(
                    () -> {
                        exchange.start();
                        loop.execute(() -> await(responseWritten)); // before it is connected
                    });
            try (Socket connection = server.accept()) {
                connection.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
                responseWritten.countDown();
                String event = events.poll(30, TimeUnit.SECONDS);
                assertNotNull("the call ends", event);
                assertTrue(event, event.equals("failed"));
                assertFalse("discovery is serving", exchange.provesNotServing());
            }
        } finally {
            loop.xnioWorker().shutdownNow();
        }
    }

    /** Returns a listener that records updates and failures by their names. */
    private DiscoveryExchange.Listener recorder() {
        return (DiscoveryExchange.Listener)
                Proxy.newProxyInstance(
                        DiscoveryExchange.Listener.class.getClassLoader(),
                        new Class<?>[] {DiscoveryExchange.Listener.class},
                        (proxy, method, args) -> {
                            if (!method.getName().equals("closed")) {
                                events.add(method.getName());
                            }
                            return null;
                        });
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
