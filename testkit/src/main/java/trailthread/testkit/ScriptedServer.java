package trailthread.testkit;

import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A scripted HTTP server on loopback, such as an endpoint or a discovery service. It records each
 * request and lets its script respond.
 */
public final class ScriptedServer implements Closeable {
    /** How long tests wait for an event that must happen, in seconds. */
    public static final int TIMEOUT_S = 30;

    /** Handles requests. */
    public interface Script {
        /** Responds to a request, or does something else with its connection. */
        void respond(Message request) throws IOException;
    }

    /** The requests that no test has taken yet. */
    public final BlockingQueue<Message> requests = new LinkedBlockingQueue<>();

    /** The connections that have been closed by either side. */
    public final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();

    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;
    private volatile Script script;

    /** Starts a server on a free port. */
    public ScriptedServer(Script script) throws IOException {
        this.script = script;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    /** A server that responds to every request with this body. */
    public static ScriptedServer respondingWith(String body) throws IOException {
        return new ScriptedServer(request -> request.respond("200 OK", "", body));
    }

    /** A server that responds to every request with this body, once the latch is open. */
    public static ScriptedServer respondingAfter(CountDownLatch open, String body)
            throws IOException {
        return new ScriptedServer(
                request -> {
                    await(open);
                    request.respond("200 OK", "", body);
                });
    }

    /** Waits until a latch is open; fails if it isn't in time. */
    public static void await(CountDownLatch latch) {
        try {
            if (!latch.await(TIMEOUT_S, TimeUnit.SECONDS)) {
                throw new AssertionError("the latch was not opened in time");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** The address, {@code address:port}. */
    public String hostPort() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Replaces the script, for the requests that come from now on. */
    public void setScript(Script script) {
        this.script = script;
    }

    /** Takes the next request; fails if none comes in time. */
    public Message takeRequest() throws InterruptedException {
        Message request = requests.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull("no request has come in time", request);
        return request;
    }

    /**
     * Checks that all requests have been taken. Call this only after everything that might send
     * another request has finished.
     */
    public void assertNoMoreRequests() {
        assertNull(requests.peek());
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                connections.add(connection);
                startThread(() -> serve(connection));
            }
        } catch (IOException e) {
            // the server was closed
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            for (Message m = Message.read(connection); m != null; m = Message.read(connection)) {
                requests.add(m);
                script.respond(m);
            }
        } catch (SocketException e) {
            // the node closed the connection
        } catch (IOException e) {
            throw new AssertionError(e);
        } finally {
            closedConnections.add(connection);
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
