package trailthread.daemon.listener;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;
import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;
import trailthread.engine.request.RequestHandler;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** Requests that one client has pipelined are served in turn with those of other clients. */
public class PipelineFairnessTest {
    private static final long LONG_NS = 20_000_000_000L;
    private static final int PIPELINED = 2_000;

    /** The other client sends its request while this one of the pipeline is served. */
    private static final int SERVED_MEANWHILE = 100;

    /** Requests of the pipeline that may be served before one that has arrived already. */
    private static final int MAX_SERVED_BEFORE = 10;

    private static final RequestClass USE =
            new RequestClass(
                    "use",
                    LONG_NS,
                    0,
                    LONG_NS,
                    Idempotency.NOT_IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    1,
                    0);

    private final EventLoop loop;
    private final AtomicInteger begun = new AtomicInteger();
    private final AtomicInteger begunBeforeOther = new AtomicInteger();
    private final CountDownLatch pipelineServed = new CountDownLatch(1);
    private final CountDownLatch otherSent = new CountDownLatch(1);
    private HttpListener listener;
    private InetSocketAddress address;

    public PipelineFairnessTest() throws IOException {
        loop = new EventLoop("fair");
    }

    /** Counts requests, and rejects those to one path for want of a route. */
    private final class CountingFrontend implements RequestFrontend {
        private final RequestFrontend platform;

        CountingFrontend(RequestFrontend platform) {
            this.platform = platform;
        }

        /** Asked for once for each request. */
        @Override
        public String readyPath() {
            if (begun.incrementAndGet() == SERVED_MEANWHILE) {
                pipelineServed.countDown();
                ScriptedServer.await(otherSent);
            }
            return platform.readyPath();
        }

        @Override
        public DecodedHead decode(HttpServerExchange exchange) {
            return exchange.getRequestURI().equals("/nowhere")
                    ? DecodedHead.rejected(RejectionReason.NO_ROUTE)
                    : platform.decode(exchange);
        }
    }

    private final class RespondingHandler implements RequestHandler {
        @Override
        public Runnable handle(ClientRequest request, long deadline, ClientResponse response) {
            if (request.target().endsWith("?other")) {
                begunBeforeOther.set(begun.get());
            }
            response.respond(EndpointResponse.of(new byte[] {'m', 'a', 'd', 'e'}));
            return () -> {};
        }

        @Override
        public boolean isOpen(String id) {
            return false;
        }
    }

    @Before
    public void listen() throws Exception {
        PlatformFrontend platform = new PlatformFrontend(List.of(USE), new RespondingHandler());
        listener =
                new HttpListener(loop, 28, 28, new CountingFrontend(platform), MetricsRecorder.OFF);
        address = listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @After
    public void end() {
        loop.xnioWorker().shutdownNow();
    }

    /** Opens a connection that has been accepted, and has carried a request. */
    private Socket connect() throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(1000 * ScriptedServer.TIMEOUT_S);
        Message.send(client, TestCluster.requestText("use", "", ""));
        assertEquals("made", Message.read(client).body());
        return client;
    }

    private static Thread sendInBackground(Socket client, String text) {
        Thread sender =
                new Thread(
                        () -> {
                            try {
                                Message.send(client, text);
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        sender.start();
        return sender;
    }

    private void checkInTurn(String pipelinedRequest) throws Exception {
        try (Socket pipelining = connect();
                Socket other = connect()) {
            begun.set(0);
            Thread sender = sendInBackground(pipelining, pipelinedRequest.repeat(PIPELINED));
            ScriptedServer.await(pipelineServed);
            sender.join(1_000); // the loop waits, so all is sent, or the sockets are full
            Message.send(other, TestCluster.requestText("use", "?other", ""));
            otherSent.countDown();
            for (int i = 0; i < PIPELINED; i++) {
                Message.read(pipelining);
            }
            assertEquals("made", Message.read(other).body());
            sender.join();
        }
        int before = begunBeforeOther.get() - 1 - SERVED_MEANWHILE;
        assertTrue("served before: " + before, before <= MAX_SERVED_BEFORE);
    }

    /** Guards against a client that keeps the loop busy with readiness checks. */
    @Test
    public void pipelinedReadinessChecksDoNotDelayOtherClients() throws Exception {
        checkInTurn("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
    }

    /** Guards against a client that keeps the loop busy with requests that are rejected at once. */
    @Test
    public void pipelinedRejectionsDoNotDelayOtherClients() throws Exception {
        checkInTurn("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
    }

    /** Guards against a client that keeps the loop busy with requests that are answered at once. */
    @Test
    public void pipelinedRequestsDoNotDelayOtherClients() throws Exception {
        checkInTurn(TestCluster.requestText("use", "?pipelined", ""));
    }
}
