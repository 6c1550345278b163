package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import trailthread.daemon.admin.AdminServer;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.NodeStatus;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/**
 * Without an admin server and degradation levels, a node has no class, thread or descriptor for
 * them.
 */
public class AdminServerOffTest {
    /**
     * Connects the components as a node does, and prints the threads and descriptors in use before
     * and after.
     *
     * @param args the address of the admin server, or nothing for a node without one
     */
    @SuppressWarnings("StreamResourceLeak") // closed immediately
    public static void main(String[] args) throws IOException {
        InetSocketAddress listen = args.length == 0 ? null : new InetSocketAddress(args[0], 0);
        EventLoop loop = new EventLoop("n0");
        // Loads the classes that counting needs before the first count.
        Files.list(Path.of("/proc/self/fd")).close();
        String before = usage();
        AdminServer admin =
                listen == null ? null : new AdminServer(loop, "n0", List.of(), new EmptyStatus());
        MetricsRecorder recorder = admin == null ? MetricsRecorder.OFF : admin.metricsRecorder();
        recorder.requestAdmitted("read");
        if (admin != null) {
            admin.listen(listen, null);
        }
        System.out.println("usage " + before + " then " + usage());
        Runtime.getRuntime().halt(0);
    }

    private static String usage() {
        return Thread.getAllStackTraces().size()
                + " threads and "
                + Path.of("/proc/self/fd").toFile().list().length
                + " descriptors";
    }

    /** The status of a node that has no state. */
    private static final class EmptyStatus implements NodeStatus {
        @Override
        public boolean isReady() {
            return false;
        }

        @Override
        public List<String> levels() {
            return List.of();
        }

        @Override
        public Map<String, Double> readings() {
            return Map.of();
        }

        @Override
        public Map<String, Integer> clientConnections() {
            return Map.of();
        }

        @Override
        public Map<String, Integer> endpointConnections() {
            return Map.of();
        }

        @Override
        public long messageMemoryBytes() {
            return 0;
        }

        @Override
        public int avoidedEndpoints() {
            return 0;
        }

        @Override
        public int descriptorLimit() {
            return 0;
        }
    }

    /**
     * Runs a program until it has written a text, and returns all lines, which include the classes
     * that it loaded.
     */
    private static String run(String until, Map<String, String> environment, String... words)
            throws Exception {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "-Xmx64m",
                                "-Xlog:class+load"));
        command.addAll(List.of(words));
        Path log = Files.createTempFile("trailthread", ".log");
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().putAll(environment);
        Process program = builder.start();
        try {
            String text = "";
            for (int i = 0; i < 100 * ScriptedServer.TIMEOUT_S && !text.contains(until); i++) {
                program.waitFor(10, TimeUnit.MILLISECONDS);
                text = Files.readString(log, StandardCharsets.ISO_8859_1);
            }
            assertTrue(until + " in " + text.length() + " characters", text.contains(until));
            return text;
        } finally {
            program.destroyForcibly().waitFor();
            Files.delete(log);
        }
    }

    private static boolean showsAdminClass(String log) {
        return log.contains("trailthread.daemon.admin.") || log.contains("io.prometheus.");
    }

    @Test
    public void adminClassesAreNotLoadedWithoutAnAdminServer() throws Exception {
        String main = AdminServerOffTest.class.getName();
        String off = run("usage ", Map.of(), main);
        assertFalse("an admin class is loaded", showsAdminClass(off));
        String[] usages =
                off.lines()
                        .filter(line -> line.startsWith("usage "))
                        .findFirst()
                        .orElseThrow()
                        .substring("usage ".length())
                        .split(" then ");
        assertEquals(usages[0], usages[1]);
        assertTrue(
                "an admin server loads its classes",
                showsAdminClass(run("usage ", Map.of(), main, "127.0.0.1")));
    }

    @Test
    public void aNodeWithoutAdminServerAndLevelsLoadsNoneOfTheirClasses() throws Exception {
        TestCluster cluster = new TestCluster();
        Path config = Files.createTempFile("trailthread", ".json");
        try {
            Files.writeString(config, cluster.config(TestCluster.SETTINGS));
            String log =
                    run(
                            "serves on",
                            Map.of("LB_CONFIG", config.toString()),
                            Main.class.getName(),
                            "serve");
            assertTrue(
                    "the log lists loaded classes",
                    log.contains("trailthread.engine.loop.EventLoop "));
            assertFalse("an admin class is loaded", showsAdminClass(log));
            assertFalse(
                    "a class of the levels is loaded",
                    log.contains("trailthread.degradation.")
                            || log.contains("trailthread.engine.degradation."));
        } finally {
            Files.delete(config);
            cluster.close();
        }
    }
}
