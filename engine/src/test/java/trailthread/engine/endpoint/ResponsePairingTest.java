package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.api.Outcome;

/** A response counts as that of a request only if it can be no other request's. */
public class ResponsePairingTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade";
    private static final String COPY = OK.replace("made", "copy");

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

    /** Guards against a late second response that is taken for the next request's. */
    @Test
    public void aSecondResponseIsNotTakenForTheNextRequests() throws Exception {
        fixture.attempt("1");
        Socket first = accept();
        EndpointFixture.readRequest(first);
        EndpointFixture.write(first, OK);
        assertEquals("made", nextBody());
        fixture.attempt("2");
        Socket second = accept();
        EndpointFixture.write(first, COPY);
        assertTrue(EndpointFixture.readRequest(second).contains("X-Correlation-Id: 2\r\n"));
        EndpointFixture.write(second, OK);
        assertEquals("made", nextBody());
    }

    /** Guards against a reuse that leaves a second response no time to arrive. */
    @Test
    public void aConnectionIsReusedOnlyAfterTheReuseDelay() throws Exception {
        fixture.attempt("1");
        Socket first = accept();
        EndpointFixture.readRequest(first);
        long respondedAt = System.nanoTime();
        EndpointFixture.write(first, OK);
        assertEquals("made", nextBody());
        TimeUnit.NANOSECONDS.sleep(new ReuseDelay().ns());
        fixture.attempt("2");
        assertTrue(EndpointFixture.readRequest(first).contains("X-Correlation-Id: 2\r\n"));
        assertTrue(System.nanoTime() - respondedAt >= new ReuseDelay().ns());
        EndpointFixture.write(first, OK);
        assertEquals("made", nextBody());
    }
}
