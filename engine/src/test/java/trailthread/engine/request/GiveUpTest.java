package trailthread.engine.request;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.engine.loop.EventLoop;

/** Requests that are at an endpoint when the process may be killed soon. */
public class GiveUpTest {
    private static final int REQUESTS = 3;
    private static final long HOUR_NS = 3_600_000_000_000L;
    private static final int LONGEST_WAIT_S = 30;
    private final EventLoop loop;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> connections = new ArrayList<>();

    /** The ends of requests, in order. */
    private final BlockingQueue<String> ends = new LinkedBlockingQueue<>();

    private final SingleEndpointDispatcher endpoint;

    public GiveUpTest() throws IOException {
        loop = new EventLoop("give-up");
        endpoint = new SingleEndpointDispatcher(loop, server.getLocalPort());
    }

    @After
    public void end() throws IOException {
        loop.xnioWorker().shutdownNow();
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private void recordEnd(String method) {
        if (method.equals("fail") || method.equals("onReleased")) {
            ends.add(method);
        }
    }

    private void sendRequests() throws IOException {
        loop.execute(
                () -> {
                    endpoint.list();
                    for (int i = 0; i < REQUESTS; i++) {
                        endpoint.take("r" + i, this::recordEnd);
                    }
                });
        for (int i = 0; i < REQUESTS; i++) {
            Socket connection = server.accept();
            connections.add(connection);
            assertEquals("a request arrives", 'P', connection.getInputStream().read());
        }
    }

    private List<String> nextEnds(int count) throws InterruptedException {
        List<String> next = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            next.add(ends.poll(LONGEST_WAIT_S, TimeUnit.SECONDS));
        }
        return next;
    }

    /** Guards against a request that is killed unanswered while others are cancelled before it. */
    @Test
    public void allAreAnsweredBeforeAnyAttemptIsCancelled() throws Exception {
        sendRequests();
        loop.execute(() -> endpoint.dispatcher.setAnswerDeadlines(loop.now(), loop.now()));
        assertEquals(
                List.of("fail", "fail", "fail", "onReleased", "onReleased", "onReleased"),
                nextEnds(2 * REQUESTS));
    }

    /**
     * Guards against requests that are killed unanswered, as an earlier plan was still followed.
     */
    @Test
    public void theTimeToAnswerByCanBeBroughtForward() throws Exception {
        sendRequests();
        loop.execute(
                () -> {
                    long later = loop.now() + HOUR_NS;
                    endpoint.dispatcher.setAnswerDeadlines(later, later);
                    endpoint.dispatcher.setAnswerDeadlines(loop.now(), loop.now());
                });
        assertEquals(List.of("fail", "fail", "fail"), nextEnds(REQUESTS));
    }
}
