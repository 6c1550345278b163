package trailthread.daemon;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.net.BindException;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CompletableFuture;
import trailthread.adapter.Adapter;

/**
 * Starts the program: {@code serve}, a real node; {@code adapter}, the module on the simulator's
 * wire.
 */
public final class Main {
    private static final int BAD_USE = 2;

    private Main() {}

    /**
     * Runs what the word says.
     *
     * @param args the single word {@code serve} or {@code adapter}
     */
    public static void main(String[] args) throws IOException {
        String word = args.length == 1 ? args[0] : "";
        switch (word) {
            case "adapter" ->
                    System.exit(Adapter.serve(System.in, new FileOutputStream(FileDescriptor.out)));
            case "serve" -> serve();
            default -> {
                System.err.println("usage: java -jar trailthread.jar serve|adapter");
                System.exit(BAD_USE);
            }
        }
    }

    private static void serve() throws IOException {
        Lifecycle.startLean();
        try {
            CompletableFuture<Runnable> reload = Lifecycle.onHangup();
            Node node = new Node(NodeConfig.load(System.getenv()));
            ServerSocketChannel given = InheritedSocket.of(System.getenv());
            Lifecycle.start(() -> node.start(given), node::stop);
            reload.complete(() -> node.reload(System.getenv()));
        } catch (ConfigException e) {
            System.err.println("trailthread: " + e.getMessage());
            System.exit(BAD_USE);
        } catch (BindException e) {
            System.err.println("trailthread: listen: " + e.getMessage());
            System.exit(BAD_USE);
        }
    }
}
