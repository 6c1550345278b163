package trailthread.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.After;
import org.junit.Test;
import trailthread.daemon.listener.HttpListener;
import trailthread.daemon.listener.PlatformFrontend;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;
import trailthread.engine.request.RequestHandler;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;

/** Drain, resume and shutdown in each state, as one table. */
public class DrainTransitionsTest {
    /**
     * A time after a drain when responses close connections, and idle connections are not closed
     * yet.
     */
    private static final long RESPONSES_CLOSE_AFTER_MS = 600;

    /**
     * Columns: the events; the result of each ('+' accepted, '0' refused, '-' for the shutdown,
     * which has none); whether the node is ready; whether responses close connections.
     */
    private static final Object[][] TABLE = {
        {"", "", true, false},
        {"drain", "+", false, true},
        {"drain drain", "++", false, true},
        {"resume", "+", true, false},
        {"drain resume", "++", true, false},
        {"drain resume resume", "+++", true, false},
        {"drain resume drain", "+++", false, true},
        // After the shutdown has begun, it decides on readiness and connections.
        {"end drain", "-0", true, false},
        {"end resume", "-0", true, false},
        {"drain end", "+-", false, false},
        {"drain end resume", "+-0", false, false},
        {"drain end drain", "+-0", false, false},
        {"drain resume end resume", "++-0", true, false},
    };

    private final EventLoop loop;

    public DrainTransitionsTest() throws IOException {
        loop = new EventLoop("drain");
    }

    @After
    public void end() {
        loop.xnioWorker().shutdownNow();
    }

    private <T> T onLoop(Supplier<T> task) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> done.complete(task.get()));
        return done.get(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static String apply(Drain drain, String event) {
        if (event.equals("end")) {
            drain.setShuttingDown();
            return "-";
        }
        return (event.equals("drain") ? drain.drain() : drain.resume()) ? "+" : "0";
    }

    @Test
    public void eachEventInEachState() throws Exception {
        for (Object[] row : TABLE) {
            String events = (String) row[0];
            HttpListener listener =
                    new HttpListener(
                            loop,
                            8,
                            8,
                            new PlatformFrontend(List.of(), new NoRequests()),
                            MetricsRecorder.OFF);
            InetSocketAddress address =
                    listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Drain drain = new Drain(loop, listener);
            String results =
                    onLoop(
                            () -> {
                                listener.setReady(true);
                                StringBuilder all = new StringBuilder();
                                for (String event :
                                        events.isEmpty() ? new String[0] : events.split(" ")) {
                                    all.append(apply(drain, event));
                                }
                                return all.toString();
                            });
            assertEquals(events, row[1], results);
            assertEquals(events + ": ready", row[2], onLoop(listener::isReady));
            Thread.sleep(RESPONSES_CLOSE_AFTER_MS);
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                client.setSoTimeout(1000 * ScriptedServer.TIMEOUT_S);
                Message.send(client, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
                Message answer = Message.read(client);
                assertEquals(events, (boolean) row[2] ? 200 : 503, answer.status());
                assertEquals(
                        events + ": responses close connections",
                        row[3],
                        "close".equals(answer.header("Connection")));
            }
        }
    }

    private static final class NoRequests implements RequestHandler {
        @Override
        public Runnable handle(ClientRequest request, long deadline, ClientResponse response) {
            throw new AssertionError("no request is sent");
        }

        @Override
        public boolean isOpen(String id) {
            return false;
        }
    }
}
