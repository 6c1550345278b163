package trailthread.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** A sound response of more than 64 KiB reaches its client whole, however slowly it is sent. */
public class SlowLongResponseTest extends WithAdminServer {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final int WARM_UP_REQUESTS = 30;

    /** How a server frames a response. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        UNTIL_CLOSE
    }

    /**
     * How a server sends a response: the head at once, the first piece after a delay, and the
     * others with a pause before each.
     */
    private record Pace(int delayMs, int firstBytes, int pieceBytes, int pauseMs, int bytes) {}

    private static final Pace LATE_BODY = new Pace(900, 34_390, 34_390, 100, 282_558);
    private static final Pace SMALL_START = new Pace(0, 1_000, 40_000, 400, 136_826);
    private static final Pace LONG_PAUSES = new Pace(0, 50_000, 50_000, 750, 164_390);

    private static void sleep(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static String head(Framing framing, int length) {
        return switch (framing) {
            case LENGTH -> OK + "Content-Length: " + length + "\r\n\r\n";
            case CHUNKED -> OK + "Transfer-Encoding: chunked\r\n\r\n";
            case UNTIL_CLOSE -> OK + "Connection: close\r\n\r\n";
        };
    }

    private static void respond(Message request, Framing framing, Pace pace) throws IOException {
        Socket connection = request.connection();
        Message.send(connection, head(framing, pace.bytes()));
        sleep(pace.delayMs());
        int pieceBytes = pace.firstBytes();
        for (int sent = 0; sent < pace.bytes(); sent += pieceBytes) {
            if (sent > 0) {
                sleep(pace.pauseMs());
                pieceBytes = Math.min(pace.pieceBytes(), pace.bytes() - sent);
            }
            String piece = "x".repeat(pieceBytes);
            boolean chunked = framing == Framing.CHUNKED;
            String size = Integer.toHexString(pieceBytes);
            Message.send(connection, chunked ? size + "\r\n" + piece + "\r\n" : piece);
        }
        if (framing == Framing.CHUNKED) {
            Message.send(connection, "0\r\n\r\n");
        } else if (framing == Framing.UNTIL_CLOSE) {
            connection.shutdownOutput();
        }
    }

    private String receive(String requestClass, String timeLeft) {
        try (Socket client = cluster.connect()) {
            String request = TestCluster.requestText(requestClass, "", "");
            Message.send(client, request.replace("20.000", timeLeft));
            Message response = Message.read(client);
            return response.startLine() + " with " + response.body().length() + " bytes";
        } catch (IOException | NumberFormatException e) {
            return "cut off: " + e.getMessage();
        }
    }

    /** Sends each class once in each framing, and checks that all responses are whole. */
    private void checkWhole(Pace pace) throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            assertEquals("made", cluster.sendRequest("state").body()); // latencies are known
        }
        List<String> wrong = new ArrayList<>();
        for (Framing framing : Framing.values()) {
            endpoint.setScript(request -> respond(request, framing, pace));
            for (String requestClass : List.of("state", "action", "use")) {
                String received =
                        receive(requestClass, requestClass.equals("state") ? "1.2" : "0.5");
                if (!received.equals("HTTP/1.1 200 OK with " + pace.bytes() + " bytes")) {
                    wrong.add(framing + ", " + requestClass + ": " + received);
                }
            }
        }
        assertEquals(List.of(), wrong);
    }

    /** Guards against a cut of responses whose head comes in time and whose body comes later. */
    @Test
    public void aLongResponseWhoseBodyComesLateIsNotCutOff() throws Exception {
        checkWhole(LATE_BODY);
    }

    /** Guards against a cut within a pause, after few bytes. */
    @Test
    public void aLongResponseThatPausesAfterItsStartIsNotCutOff() throws Exception {
        checkWhole(SMALL_START);
    }

    /** Guards against a cut at the deadline, within a pause that lasts longer than the request. */
    @Test
    public void aLongResponseThatPausesAcrossTheDeadlineIsNotCutOff() throws Exception {
        checkWhole(LONG_PAUSES);
    }

    /** Guards against a head that is held until the body comes, after its time. */
    @Test
    public void theHeadOfALongResponseIsPassedOnBeforeItsBody() throws Exception {
        CountDownLatch headReceived = new CountDownLatch(1);
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(
                                request -> {
                                    Message.send(
                                            request.connection(), head(Framing.LENGTH, 100_000));
                                    ScriptedServer.await(headReceived);
                                    Message.send(request.connection(), "x".repeat(100_000));
                                }));
        cluster.start(TestCluster.SETTINGS, endpoint);
        Socket client = cluster.connect();
        Message.send(client, TestCluster.requestText("use", "", "").replace("20.000", "0.5"));
        assertEquals('H', client.getInputStream().read());
        headReceived.countDown();
        Message response = Message.read(client);
        assertEquals("TTP/1.1 200 OK", response.startLine());
        assertEquals(100_000, response.body().length());
    }

    /** Guards against holding a client for ever whose server sends a head and nothing more. */
    @Test
    public void aLongResponseOfWhichOnlyTheHeadComesIsEnded() throws Exception {
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(
                                request ->
                                        Message.send(
                                                request.connection(),
                                                head(Framing.LENGTH, 100_000))));
        cluster.start(TestCluster.SETTINGS, endpoint);
        String received = receive("use", "0.5");
        assertEquals("cut off: the connection ended within the body", received);
    }
}
