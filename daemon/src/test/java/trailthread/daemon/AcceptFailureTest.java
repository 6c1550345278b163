package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import org.junit.Before;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.SystemCallFaults;
import trailthread.testkit.SystemCallFaults.Call;
import trailthread.testkit.TestCluster;

/** Clients that connect while accept fails are served like any others. */
public class AcceptFailureTest extends WithAdminServer {
    private static final double DEADLINE_S = 1.2;

    /** A response later than this after its deadline counts as lost. */
    private static final double LATE_RESPONSE_S = 0.5;

    /** The time that {@link TestCluster#requestText} gives a request. */
    private static final double LONG_DEADLINE_S = 20;

    /** The time that a server is given may exceed what the client has left by this. */
    private static final double TIME_LEFT_SLACK_S = 0.15;

    private static final int WAITING_MS = 600;
    private static final int ROUNDS = 6;
    private static final int FAILURES_A_ROUND = 3;

    private SystemCallFaults faults;

    @Before
    public void loadFaults() throws Exception {
        faults = cluster.closeAtEnd(new SystemCallFaults(1));
        cluster.launcher = faults.launcher();
    }

    private static String request() {
        return TestCluster.requestText("state", "", "")
                .replace("Left: 20.000", "Left: " + DEADLINE_S);
    }

    /** Guards against clients that wait for seconds after accept has failed for a moment. */
    @Test
    public void clientsThatConnectWhileAcceptFailsAreAnsweredInTime() throws Exception {
        cluster.start(
                TestCluster.SETTINGS, cluster.closeAtEnd(ScriptedServer.respondingWith("made")));
        for (int round = 0; round < ROUNDS; round++) {
            faults.failNext(Call.ACCEPT, FAILURES_A_ROUND);
            long sentAt = System.nanoTime();
            Socket client = cluster.connect();
            Message.send(client, request());
            Message response = Message.read(client);
            double seconds = (System.nanoTime() - sentAt) / 1e9;
            assertTrue(
                    "round " + round + ": answered after " + seconds + " s",
                    seconds < DEADLINE_S + LATE_RESPONSE_S);
            assertEquals("HTTP/1.1 200 OK", response.startLine());
        }
        assertEquals(ROUNDS * FAILURES_A_ROUND, faults.injected(Call.ACCEPT));
    }

    /** Guards against servers that are given time which the client has spent in the backlog. */
    @Test
    public void timeInTheBacklogIsPartOfARequestsTime() throws Exception {
        ScriptedServer server = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, server);
        faults.failNext(Call.ACCEPT, Integer.MAX_VALUE);
        Socket client = cluster.connect();
        Message.send(client, TestCluster.requestText("state", "", ""));
        Thread.sleep(WAITING_MS);
        faults.failNext(Call.ACCEPT, 0);
        double timeLeftS = Double.parseDouble(server.takeRequest().header("X-Time-Left"));
        assertTrue(
                "the server was given " + timeLeftS + " s",
                timeLeftS <= LONG_DEADLINE_S - WAITING_MS / 1e3 + TIME_LEFT_SLACK_S);
        assertEquals("HTTP/1.1 200 OK", Message.read(client).startLine());
    }
}
