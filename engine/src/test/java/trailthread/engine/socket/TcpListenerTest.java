package trailthread.engine.socket;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import trailthread.engine.loop.EventLoop;

/** Connections are accepted up to a limit, and all that wait before the socket is closed. */
public class TcpListenerTest {
    private static final int BACKLOG = 50;
    private static final int MAX_OPEN = 3;
    private static final int TIMEOUT_S = 30;
    private static final long FINISH_NS = 1_000_000_000L;

    private final EventLoop loop;
    private final BlockingQueue<StreamConnection> accepted = new LinkedBlockingQueue<>();
    private final List<Socket> clients = new ArrayList<>();

    public TcpListenerTest() throws IOException {
        loop = new EventLoop("listener");
    }

    @After
    public void closeAll() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        loop.xnioWorker().shutdownNow();
    }

    private TcpListener listener(int maxOpen) {
        return new TcpListener(
                loop, maxOpen, (connection, waitingSince) -> accepted.add(connection));
    }

    private static InetSocketAddress listen(TcpListener listener) throws IOException {
        return listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
    }

    private void connect(InetSocketAddress address, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            clients.add(new Socket(address.getAddress(), address.getPort()));
        }
    }

    private StreamConnection nextAccepted() throws InterruptedException {
        StreamConnection connection = accepted.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(connection);
        return connection;
    }

    /** Returns once the loop has served the sockets that are ready now. */
    private void awaitSocketsServed() throws InterruptedException {
        CountDownLatch served = new CountDownLatch(1);
        loop.execute(() -> loop.afterSockets(served::countDown));
        assertTrue("the loop is stuck", served.await(TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Test
    public void connectionsPastTheLimitWaitUntilOneIsClosed() throws Exception {
        InetSocketAddress address = listen(listener(MAX_OPEN));
        connect(address, MAX_OPEN + 1);
        StreamConnection first = nextAccepted();
        for (int i = 1; i < MAX_OPEN; i++) {
            nextAccepted();
        }
        awaitSocketsServed();
        assertNull(accepted.peek());
        loop.execute(() -> IoUtils.safeClose(first));
        nextAccepted();
    }

    /** Guards against connections that are reset as they wait when the listening socket closes. */
    @Test
    public void connectionsThatWaitAreAcceptedBeforeTheSocketIsClosed() throws Exception {
        TcpListener listener = listener(2 * BACKLOG);
        InetSocketAddress address = listen(listener);
        CountDownLatch connected = new CountDownLatch(1);
        BlockingQueue<Integer> acceptedAtEnd = new LinkedBlockingQueue<>();
        loop.execute(
                () -> {
                    try {
                        connected.await(TIMEOUT_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                    listener.finish(FINISH_NS, () -> acceptedAtEnd.add(accepted.size()));
                });
        connect(address, BACKLOG);
        connected.countDown();
        assertEquals(Integer.valueOf(BACKLOG), acceptedAtEnd.poll(TIMEOUT_S, TimeUnit.SECONDS));
        assertThrows(IOException.class, () -> connect(address, 1));
    }

    @Test
    public void anUnknownHostCannotBeBound() {
        InetSocketAddress unknown = InetSocketAddress.createUnresolved("host.invalid", 0);
        BindException e =
                assertThrows(BindException.class, () -> listener(1).listen(unknown, BACKLOG));
        assertEquals("unknown host host.invalid", e.getMessage());
    }
}
