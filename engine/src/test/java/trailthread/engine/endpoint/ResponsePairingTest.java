package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.api.Outcome;

/** A response counts as that of a request only if it can be no other request's. */
public class ResponsePairingTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade";
    private static final String COPY = OK.replace("made", "copy");
    private static final String REJECTION =
            "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

    /** More than the system buffers for a connection. */
    private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;

    private final EndpointFixture fixture = new EndpointFixture();
    private final List<Socket> connections = new ArrayList<>();

    public ResponsePairingTest() throws IOException {}

    @After
    public void end() throws IOException {
        for (Socket connection : connections) {
            connection.close();
        }
        fixture.close();
    }

    private Socket accept() throws IOException {
        Socket connection = fixture.accept();
        connections.add(connection);
        return connection;
    }

    private String nextBody() throws InterruptedException {
        AttemptResult result = fixture.nextResult();
        assertEquals(Outcome.OK, result.outcome());
        return new String(result.response().body(), StandardCharsets.US_ASCII);
    }

    /** Serves the first request on a new connection, and returns the connection. */
    private Socket serveFirstRequest() throws Exception {
        fixture.attempt("1");
        Socket connection = accept();
        EndpointFixture.readRequest(connection);
        EndpointFixture.write(connection, OK);
        assertEquals("made", nextBody());
        return connection;
    }

    /** Sends a request on a new connection, and returns the connection. */
    private Socket receiveRequest() throws Exception {
        fixture.attempt("2");
        Socket connection = accept();
        EndpointFixture.readRequest(connection);
        return connection;
    }

    /** Guards against a late second response that is taken for the next request's. */
    @Test
    public void aSecondResponseIsNotTakenForTheNextRequests() throws Exception {
        Socket first = serveFirstRequest();
        fixture.attempt("2");
        Socket second = accept();
        EndpointFixture.write(first, COPY);
        assertTrue(EndpointFixture.readRequest(second).contains("X-Correlation-Id: 2\r\n"));
        EndpointFixture.write(second, OK);
        second.shutdownOutput(); // the response counts with it if the copy came before the request
        assertEquals("made", nextBody());
    }

    /** Guards against a reuse that leaves a second response no time to arrive. */
    @Test
    public void aConnectionIsReusedOnlyAfterTheReuseDelay() throws Exception {
        Socket first = receiveRequest();
        long respondedAt = System.nanoTime();
        EndpointFixture.write(first, OK);
        assertEquals("made", nextBody());
        TimeUnit.NANOSECONDS.sleep(ReuseDelay.DEFAULT_NS);
        fixture.attempt("3");
        assertTrue(EndpointFixture.readRequest(first).contains("X-Correlation-Id: 3\r\n"));
        assertTrue(System.nanoTime() - respondedAt >= ReuseDelay.DEFAULT_NS);
        EndpointFixture.write(first, OK);
        assertEquals("made", nextBody());
    }

    /** Guards against a retry beside an attempt whose rejection was another request's. */
    @Test
    public void aRejectionClosesItsConnection() throws Exception {
        Socket connection = receiveRequest();
        EndpointFixture.write(connection, REJECTION);
        assertEquals(Outcome.REJECTED, fixture.nextResult().outcome());
        assertEquals(-1, connection.getInputStream().read());
    }

    /** Guards against either of two responses that is taken for the request's. */
    @Test
    public void twoResponsesAtOnceFailTheAttempt() throws Exception {
        Socket connection = receiveRequest();
        EndpointFixture.write(connection, REJECTION + OK);
        assertEquals(Outcome.RESET, fixture.nextResult().outcome());
        assertEquals(-1, connection.getInputStream().read());
    }

    /** Makes the endpoint send a second response to the request with id 1. */
    private void sendSurplusResponse() throws Exception {
        Socket connection = serveFirstRequest();
        EndpointFixture.write(connection, COPY);
        assertEquals(-1, connection.getInputStream().read());
    }

    /** Guards against further surplus responses of the same endpoint. */
    @Test
    public void afterASurplusResponseEachConnectionCarriesOneRequest() throws Exception {
        sendSurplusResponse();
        for (String id : new String[] {"2", "3"}) {
            fixture.attempt(id);
            Socket connection = accept();
            String request = EndpointFixture.readRequest(connection);
            assertTrue(request.contains("X-Correlation-Id: " + id + "\r\n"));
            assertTrue(request.contains("Connection: close\r\n"));
            EndpointFixture.write(connection, OK);
            connection.shutdownOutput();
            assertEquals("made", nextBody());
        }
    }

    /** Guards against a rejection or a body that the endpoint sent for no request. */
    @Test
    public void afterASurplusResponseOnlyTheOneBeforeTheEndCounts() throws Exception {
        sendSurplusResponse();
        for (String surplus : new String[] {REJECTION, COPY}) {
            Socket connection = receiveRequest();
            EndpointFixture.write(connection, surplus);
            TimeUnit.MILLISECONDS.sleep(50); // so that the second response is read by itself
            EndpointFixture.write(connection, OK);
            assertEquals(Outcome.RESET, fixture.nextResult().outcome());
        }
    }

    /** Guards against a repeat of a request that ran while the endpoint sent surplus responses. */
    @Test
    public void aRejectionBesideASurplusResponseMayBeAnotherRequests() throws Exception {
        Socket earlier = receiveRequest();
        sendSurplusResponse();
        EndpointFixture.write(earlier, REJECTION);
        assertEquals(Outcome.ERROR, fixture.nextResult().outcome());
    }

    /** Guards against a response on a new connection that was there before the request. */
    @Test
    public void aResponseBeforeTheRequestIsNotTakenForItsResponse() throws Exception {
        CountDownLatch responseWritten = new CountDownLatch(1);
        // The task runs after the connect has begun, and before it is known to be complete.
        fixture.attempt("1", () -> await(responseWritten));
        EndpointFixture.write(accept(), COPY);
        responseWritten.countDown();
        assertEquals(Outcome.CONNECT_FAILED, fixture.nextResult().outcome());
    }

    /** Guards against a first request that leaves an unasked response no time to arrive. */
    @Test
    public void aNewConnectionRestsBeforeItsFirstRequest() throws Exception {
        long startedAt = System.nanoTime();
        fixture.attempt("1");
        EndpointFixture.readRequest(accept());
        assertTrue(System.nanoTime() - startedAt >= ReuseDelay.FIRST_USE_MARGIN_NS);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against a response that came before the endpoint could serve the request. */
    @Test
    public void aSuccessBeforeTheLastByteIsNotTheRequests() throws Exception {
        fixture.attempt("1", LONG_BODY_BYTES);
        Socket connection = accept();
        EndpointFixture.readRequest(connection);
        EndpointFixture.write(connection, OK);
        assertEquals(Outcome.CONNECT_FAILED, fixture.nextResult().outcome());
    }
}
