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
 * A scripted peer of the node on loopback: what it is asked is recorded, and answered by its
 * script.
 */
public final class Peer implements Closeable {
    public static final int LONGEST_WAIT_S = 30;

    /** What a peer does with a request. */
    public interface Script {
        void act(Message request) throws IOException;
    }

    public final BlockingQueue<Message> requests = new LinkedBlockingQueue<>();
    public final BlockingQueue<Socket> closed = new LinkedBlockingQueue<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;
    private volatile Script script;

    public Peer(Script script) throws IOException {
        this.script = script;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        thread(this::accept);
    }

    /** A peer that makes this body of every request. */
    public static Peer serving(String body) throws IOException {
        return new Peer(request -> request.answer("200 OK", "", body));
    }

    /** A peer that makes this body of every request, once the latch is open. */
    public static Peer servingAfter(CountDownLatch open, String body) throws IOException {
        return new Peer(
                request -> {
                    await(open);
                    request.answer("200 OK", "", body);
                });
    }

    /** Waits for what must come. */
    public static void await(CountDownLatch latch) {
        try {
            if (!latch.await(LONGEST_WAIT_S, TimeUnit.SECONDS)) {
                throw new AssertionError("it was to come");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    public String hostPort() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    public void setScript(Script script) {
        this.script = script;
    }

    /** The next request, which must come. */
    public Message asked() throws InterruptedException {
        Message request = requests.poll(LONGEST_WAIT_S, TimeUnit.SECONDS);
        assertNotNull("a request was to come", request);
        return request;
    }

    /**
     * Nothing has come but what was looked at; to be called when what might have sent it is over.
     */
    public void wasNotAsked() {
        assertNull(requests.peek());
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                connections.add(connection);
                thread(() -> serve(connection));
            }
        } catch (IOException e) {
            // the test is over
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            for (Message m = Message.read(connection); m != null; m = Message.read(connection)) {
                requests.add(m);
                script.act(m);
            }
        } catch (SocketException e) {
            // the node let go of it
        } catch (IOException e) {
            throw new AssertionError(e);
        } finally {
            closed.add(connection);
        }
    }

    private static void thread(Runnable task) {
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
