package trailthread.benchmark;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.handlers.proxy.LoadBalancingProxyClient;
import io.undertow.server.handlers.proxy.ProxyHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;
import org.xnio.OptionMap;
import org.xnio.Options;

/**
 * Undertow's own proxy, which takes workers in turn, with the node's buffers, socket options and
 * bounds. It prints the port that it serves on.
 */
public final class UndertowProxy {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BUFFERS_KEPT = 256;
    private static final int THREAD_BUFFERS = 16;

    /**
     * What a node with 1,024 descriptors keeps for its workers: two fifths of what is not its own.
     */
    private static final int MOST_CONNECTIONS = 390;

    /** The deadline of the class that is called. */
    private static final int MOST_MS = 1_200;

    private UndertowProxy() {}

    /**
     * Serves until it is ended.
     *
     * @param args {@code --workers}, their ports on loopback
     */
    public static void main(String[] args) throws Exception {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        int[] ports = new Arguments(Map.of("workers", ""), args).list("workers");
        OptionMap nodelay = OptionMap.create(Options.TCP_NODELAY, true);
        LoadBalancingProxyClient workers =
                new LoadBalancingProxyClient()
                        .setConnectionsPerThread(MOST_CONNECTIONS / ports.length);
        for (int port : ports) {
            workers.addHost(null, new URI("http://127.0.0.1:" + port), null, null, nodelay);
        }
        Undertow server =
                Undertow.builder()
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .setByteBufferPool(
                                new DefaultByteBufferPool(
                                        true, BUFFER_BYTES, BUFFERS_KEPT, THREAD_BUFFERS))
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .setServerOption(UndertowOptions.DECODE_URL, false)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .addHttpListener(0, "127.0.0.1")
                        .setHandler(
                                ProxyHandler.builder()
                                        .setProxyClient(workers)
                                        .setMaxRequestTime(MOST_MS)
                                        .build())
                        .build();
        server.start();
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        System.out.println("proxy serves on 127.0.0.1:" + address.getPort());
    }
}
