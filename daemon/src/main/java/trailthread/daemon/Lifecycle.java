package trailthread.daemon;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;
import org.slf4j.LoggerFactory;

/** The process: how it starts, what signals do, how it ends. */
public final class Lifecycle {
    /** What begins to take calls. */
    public interface Starting {
        /** Returns when it is under way. */
        void run() throws IOException;
    }

    /** What ends a process in order. */
    public interface Ending {
        /** Returns when all is done. */
        void run() throws InterruptedException;
    }

    private Lifecycle() {}

    /**
     * Spares a start what nobody here uses: XNIO registers itself with the platform's management
     * beans, which loads hundreds of classes (it goes on without them); the log's dates would bring
     * in all the world's calendars; and the log's provider, and translations of its messages, are
     * looked for in every jar.
     */
    public static void startLean() {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.setProperty("io.undertow.max-drain-time", "1000");
        System.setProperty("javax.management.builder.initial", NoMBeanServer.class.getName());
        System.setProperty("java.locale.providers", "HOST");
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN");
        System.setProperty("org.jboss.logging.locale", "und");
    }

    /**
     * Handles SIGHUP, which would end the virtual machine, from now on: each runs what this is
     * completed with, and one that comes before waits for it. By reflection, as the compiler warns
     * of the only class that handles signals, and a warning is an error here.
     */
    public static CompletableFuture<Runnable> onHangup() {
        CompletableFuture<Runnable> reload = new CompletableFuture<>();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handles =
                    Proxy.newProxyInstance(
                            Lifecycle.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, args) -> {
                                if (method.getName().equals("handle")) {
                                    var unused = reload.thenAccept(Runnable::run);
                                }
                                return null;
                            });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handles);
        } catch (ReflectiveOperationException e) {
            LoggerFactory.getLogger(Lifecycle.class)
                    .warn("SIGHUP is not handled: {}", e.toString());
        }
        return reload;
    }

    /**
     * Starts what SIGTERM ends in order, from before its first call. Ends in 0 what would end in
     * the signal's number: a graceful shutdown is no failure; what can't start ends as it would.
     */
    public static void start(Starting starting, Ending ending) throws IOException {
        Thread stop =
                new Thread(
                        () -> {
                            try {
                                ending.run();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                            Runtime.getRuntime().halt(0);
                        },
                        "stop");
        Runtime.getRuntime().addShutdownHook(stop);
        try {
            starting.run();
        } catch (IOException e) {
            Runtime.getRuntime().removeShutdownHook(stop);
            throw e;
        }
    }
}
