package trailthread.daemon;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.net.BindException;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CompletableFuture;
import trailthread.adapter.Adapter;

/**
 * The entry point of the program: {@code serve} runs a platform node, {@code adapter} runs the
 * decision module on the simulator's wire.
 */
public final class Main {
    /** The exit status for wrong arguments or an unusable configuration. */
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs the program.
     *
     * @param args the single word {@code serve} or {@code adapter}
     * @throws IOException if sockets can't be opened
     */
    public static void main(String[] args) throws IOException {
        String mode = args.length == 1 ? args[0] : "";
        switch (mode) {
            case "adapter" ->
                    System.exit(Adapter.serve(System.in, new FileOutputStream(FileDescriptor.out)));
            case "serve" -> serve();
            default -> {
                System.err.println("usage: java -jar trailthread.jar serve|adapter");
                System.exit(EXIT_USAGE);
            }
        }
    }

    private static void serve() throws IOException {
        Lifecycle.setSystemProperties();
        try {
            CompletableFuture<Runnable> reload = Lifecycle.handleHangup();
            Node node = new Node(NodeConfig.load(System.getenv()));
            ServerSocketChannel inherited = InheritedSocket.fromEnvironment(System.getenv());
            Lifecycle.start(() -> node.start(inherited), node::stop);
            reload.complete(() -> node.reload(System.getenv()));
        } catch (ConfigException e) {
            System.err.println("trailthread: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (BindException e) {
            System.err.println("trailthread: listen: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }
}
