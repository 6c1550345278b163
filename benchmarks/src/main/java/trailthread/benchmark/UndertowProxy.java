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
 * Undertow's own proxy, which selects servers round-robin, with the node's buffers, socket options
 * and limits. Prints the port on which it listens.
 */
public final class UndertowProxy {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BUFFER_POOL_SIZE = 256;
    private static final int THREAD_CACHE_SIZE = 16;

    /**
     * Connections to servers that a node with 1,024 descriptors may open: two fifths of the
     * descriptors that it does not need for itself.
     */
    private static final int MAX_CONNECTIONS = 390;

    /** Deadline of the request class that the load generator uses. */
    private static final int MAX_REQUEST_MS = 1_200;

    private UndertowProxy() {}

    /**
     * Serves until the process is killed.
     *
     * @param args {@code --workers}: ports of the servers on loopback
     */
    public static void main(String[] args) throws Exception {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        int[] ports = new Arguments(Map.of("workers", ""), args).integers("workers");
        OptionMap nodelay = OptionMap.create(Options.TCP_NODELAY, true);
        LoadBalancingProxyClient proxyClient =
                new LoadBalancingProxyClient()
                        .setConnectionsPerThread(MAX_CONNECTIONS / ports.length);
        for (int port : ports) {
            proxyClient.addHost(null, new URI("http://127.0.0.1:" + port), null, null, nodelay);
        }
        Undertow undertow =
                Undertow.builder()
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .setByteBufferPool(
                                new DefaultByteBufferPool(
                                        true, BUFFER_BYTES, BUFFER_POOL_SIZE, THREAD_CACHE_SIZE))
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .setServerOption(UndertowOptions.DECODE_URL, false)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .addHttpListener(0, "127.0.0.1")
                        .setHandler(
                                ProxyHandler.builder()
                                        .setProxyClient(proxyClient)
                                        .setMaxRequestTime(MAX_REQUEST_MS)
                                        .build())
                        .build();
        undertow.start();
        InetSocketAddress address =
                (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
        System.out.println("proxy serves on 127.0.0.1:" + address.getPort());
    }
}
