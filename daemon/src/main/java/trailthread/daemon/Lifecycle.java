package trailthread.daemon;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;
import org.slf4j.LoggerFactory;

/** The start of the process, its signal handlers and its exit. */
public final class Lifecycle {
    /** Starts serving requests. */
    public interface StartTask {
        /**
         * Returns once the start is under way.
         *
         * @throws IOException if the node can't be started
         */
        void run() throws IOException;
    }

    /** Shuts down gracefully. */
    public interface StopTask {
        /** Returns when the process may exit. */
        void run() throws InterruptedException;
    }

    private Lifecycle() {}

    /**
     * Sets system properties that shorten the start. Must be called before any logger is created.
     * XNIO would register MBeans, which loads hundreds of classes; the dates in the log would load
     * the data of all locales; and the logging provider, and translations of its messages, would be
     * searched for in every jar.
     */
    public static void setSystemProperties() {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.setProperty("io.undertow.max-drain-time", "1000");
        System.setProperty("javax.management.builder.initial", NoMBeanServer.class.getName());
        System.setProperty("java.locale.providers", "HOST");
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN");
        System.setProperty("org.jboss.logging.locale", "und");
    }

    /**
     * Handles SIGHUP from now on; without a handler it would end the Java virtual machine. Each
     * signal runs the task that the returned future is completed with; signals that arrive before
     * the completion are handled then.
     *
     * <p>Uses reflection, as the compiler warns of {@code sun.misc.Signal}, and warnings are errors
     * in this build.
     */
    public static CompletableFuture<Runnable> handleHangup() {
        CompletableFuture<Runnable> reload = new CompletableFuture<>();
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object hangup = signalType.getConstructor(String.class).newInstance("HUP");
            Object handler =
                    Proxy.newProxyInstance(
                            Lifecycle.class.getClassLoader(),
                            new Class<?>[] {handlerType},
                            (proxy, method, args) -> {
                                if (method.getName().equals("handle")) {
                                    var unused = reload.thenAccept(Runnable::run);
                                }
                                return null;
                            });
            Object previous =
                    signalType
                            .getMethod("handle", signalType, handlerType)
                            .invoke(null, hangup, handler);
            if (previous == handlerType.getField("SIG_IGN").get(null)) {
                warnOfIgnoredHangup();
            }
        } catch (ReflectiveOperationException e) {
            LoggerFactory.getLogger(Lifecycle.class)
                    .warn("SIGHUP is not handled: {}", e.toString());
        }
        return reload;
    }

    /** The Java virtual machine installs no handler for a signal that was ignored at its start. */
    private static void warnOfIgnoredHangup() {
        LoggerFactory.getLogger(Lifecycle.class)
                .warn(
                        "SIGHUP was ignored when the process started, as under nohup, and stays"
                                + " ignored: the configuration can't be reloaded. Start the process"
                                + " without nohup, or with 'env --default-signal=HUP' before 'java'");
    }

    /**
     * Starts serving, with a shutdown hook that SIGTERM runs; the hook is in place before the first
     * request can come. After a graceful shutdown the exit status is 0 in place of the signal's.
     *
     * @throws IOException if the start fails; the hook is removed then
     */
    public static void start(StartTask startTask, StopTask stopTask) throws IOException {
        Thread shutdownHook = new Thread(() -> shutDown(stopTask), "stop");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            startTask.run();
        } catch (IOException e) {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            throw e;
        }
    }

    private static void shutDown(StopTask stopTask) {
        try {
            stopTask.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
