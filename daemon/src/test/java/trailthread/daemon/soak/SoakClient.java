package trailthread.daemon.soak;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import trailthread.testkit.Message;
import trailthread.testkit.TestCluster;

/**
 * A client that sends one request after another, on the same connection as long as that is open. It
 * ends when it can't connect any more: another node would serve it then.
 */
final class SoakClient implements Runnable {
    private static final Pattern ID = Pattern.compile("X-Correlation-Id: (\\w+)");
    private static final int MAX_PAUSE_MS = 60;

    /** The share of requests whose client disconnects before the response. */
    private static final double LEAVING_SHARE = 0.04;

    private static final int MAX_WAIT_BEFORE_LEAVING_MS = 120;

    private final SoakRun run;
    private final Random random;
    private final int maxRequests;
    private final int startsAfterMs;
    private Socket connection;

    /**
     * Creates a client.
     *
     * @param maxRequests how many requests it sends at most
     * @param startsAfterMs how long it waits before the first request, in milliseconds
     */
    SoakClient(SoakRun run, long seed, int maxRequests, int startsAfterMs) {
        this.run = run;
        this.maxRequests = maxRequests;
        this.startsAfterMs = startsAfterMs;
        random = new Random(seed);
    }

    @Override
    public void run() {
        try {
            Thread.sleep(startsAfterMs);
            for (int i = 0; i < maxRequests && run.isRunning(); i++) {
                if (connection == null) {
                    connection = run.connect();
                }
                sendRequest();
                Thread.sleep(random.nextInt(MAX_PAUSE_MS));
            }
        } catch (ConnectException e) {
            // the listening socket is closed
        } catch (IOException | InterruptedException e) {
            run.note("a client ended: " + e);
        } finally {
            disconnect();
        }
    }

    private void sendRequest() throws InterruptedException {
        RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
        int deadlineMs = run.scenario().deadlineMs(kind);
        String text =
                TestCluster.requestText(kind.className(), "", "")
                        .replace("Left: 20.000", "Left: " + deadlineMs / 1000.0);
        Matcher id = ID.matcher(text);
        if (!id.find()) {
            throw new IllegalStateException("no id in the request: " + text);
        }
        RequestHistory request = run.add(new RequestHistory(id.group(1), kind, deadlineMs));
        try {
            request.startedAt = System.nanoTime();
            Message.send(connection, text);
            request.writtenAt = System.nanoTime();
            if (random.nextDouble() < LEAVING_SHARE) {
                leave(request);
            } else {
                awaitResponse(request);
            }
        } catch (IOException e) {
            request.ended("the connection failed: " + e.getMessage(), false);
            disconnect();
        }
    }

    private void leave(RequestHistory request) throws InterruptedException {
        Thread.sleep(random.nextInt(MAX_WAIT_BEFORE_LEAVING_MS));
        request.clientLeftAt = System.nanoTime();
        disconnect();
    }

    private void awaitResponse(RequestHistory request) throws IOException {
        Message response = Message.read(connection);
        if (response == null) {
            request.ended("the connection was closed", false);
            disconnect();
            return;
        }
        request.ended(response.startLine(), true);
        request.responseBody = response.body();
        boolean reconnects = random.nextDouble() < run.scenario().reconnectShare();
        if (reconnects || "close".equals(response.header("Connection"))) {
            disconnect();
        }
    }

    private void disconnect() {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            run.note("a connection did not close: " + e);
        }
        connection = null;
    }
}
