package trailthread.daemon;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.BindException;
import org.slf4j.LoggerFactory;
import trailthread.adapter.Adapter;

/** Starts the program: {@code serve}, a real node; {@code adapter}, the module on the simulator's wire. */
public final class Main {
    private static final int BAD_USE = 2;

    private Main() {
    }

    /**
     * Runs what the word says.
     *
     * @param args the single word {@code serve} or {@code adapter}
     */
    public static void main(String[] args) throws IOException {
        String word = args.length == 1 ? args[0] : "";
        switch (word) {
            case "adapter" -> System.exit(Adapter.serve(System.in, new FileOutputStream(FileDescriptor.out)));
            case "serve" -> serve();
            default -> {
                System.err.println("usage: java -jar trailthread.jar serve|adapter");
                System.exit(BAD_USE);
            }
        }
    }

    private static void serve() throws IOException {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.setProperty("io.undertow.max-drain-time", "1000");
        startLean();
        try {
            Node node = new Node(NodeConfig.load(System.getenv()));
            onHangup(() -> node.reload(System.getenv()));
            node.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
        } catch (ConfigException e) {
            System.err.println("trailthread: " + e.getMessage());
            System.exit(BAD_USE);
        } catch (BindException e) {
            System.err.println("trailthread: listen: " + e.getMessage());
            System.exit(BAD_USE);
        }
    }

    /**
     * Spares a start what nobody here uses: XNIO registers itself with the platform's management beans, which
     * loads hundreds of classes (it goes on without them); the log's dates would bring in all the world's
     * calendars; and the log's provider, and translations of its messages, are looked for in every jar.
     */
    private static void startLean() {
        System.setProperty("javax.management.builder.initial", NoManagement.class.getName());
        System.setProperty("java.locale.providers", "HOST");
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN");
        System.setProperty("org.jboss.logging.locale", "und");
    }

    /**
     * Runs this on each SIGHUP, which would end the virtual machine. By reflection, as the compiler warns of
     * the only class that handles signals, and a warning is an error here.
     */
    private static void onHangup(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handles = Proxy.newProxyInstance(Main.class.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, args) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handles);
        } catch (ReflectiveOperationException e) {
            LoggerFactory.getLogger(Main.class).warn("SIGHUP is not handled: {}", e.toString());
        }
    }

    /** Ends in 0 what would end in the signal's number: a planned end is no failure. */
    private static void stop(Node node) {
        try {
            node.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
