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

/** Requests that are still at an endpoint are answered before the process may be killed. */
public class GiveUpTest {
    private static final int REQUESTS = 3;
    private static final long HOUR_NS = 3_600_000_000_000L;
    private static final int MAX_WAIT_S = 30;
    private final EventLoop loop;
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> connections = new ArrayList<>();

    /** The methods that ended requests, in the order of their calls. */
    private final BlockingQueue<String> endingCalls = new LinkedBlockingQueue<>();

    private final SingleEndpointDispatcher singleEndpoint;

    public GiveUpTest() throws IOException {
        loop = new EventLoop("give-up");
        singleEndpoint = new SingleEndpointDispatcher(loop, server.getLocalPort());
    }

    @After
    public void closeLoopAndSockets() throws IOException {
        loop.xnioWorker().shutdownNow();
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private void recordEndingCall(String method) {
        if (method.equals("fail") || method.equals("onReleased")) {
            endingCalls.add(method);
        }
    }

    private void sendRequests() throws IOException {
        loop.execute(
                () -> {
                    singleEndpoint.listEndpoint();
                    for (int i = 0; i < REQUESTS; i++) {
                        singleEndpoint.admit("r" + i, this::recordEndingCall);
                    }
                });
        for (int i = 0; i < REQUESTS; i++) {
            Socket connection = server.accept();
            connections.add(connection);
            assertEquals("a request arrives", 'P', connection.getInputStream().read());
        }
    }

    private List<String> nextEndingCalls(int count) throws InterruptedException {
        List<String> next = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            next.add(endingCalls.poll(MAX_WAIT_S, TimeUnit.SECONDS));
        }
        return next;
    }

    /**
     * Prevents a request from being unanswered at the kill because the attempts of other requests
     * are cancelled before it is answered.
     */
    @Test
    public void allRequestsAreAnsweredBeforeAnyAttemptIsCancelled() throws Exception {
        sendRequests();
        loop.execute(() -> singleEndpoint.dispatcher.setAnswerDeadlines(loop.now(), loop.now()));
        assertEquals(
                List.of("fail", "fail", "fail", "onReleased", "onReleased", "onReleased"),
                nextEndingCalls(2 * REQUESTS));
    }

    /**
     * Prevents requests from being unanswered at the kill because deadlines that were replaced by
     * earlier ones still apply.
     */
    @Test
    public void answerDeadlinesCanBeReplacedByEarlierOnes() throws Exception {
        sendRequests();
        loop.execute(
                () -> {
                    long later = loop.now() + HOUR_NS;
                    singleEndpoint.dispatcher.setAnswerDeadlines(later, later);
                    singleEndpoint.dispatcher.setAnswerDeadlines(loop.now(), loop.now());
                });
        assertEquals(List.of("fail", "fail", "fail"), nextEndingCalls(REQUESTS));
    }
}
