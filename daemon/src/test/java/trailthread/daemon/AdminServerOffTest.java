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
    /** Connects the parts as a node does; an argument is the address of the admin server. */
    @SuppressWarnings("StreamResourceLeak") // closed at once
    public static void main(String[] args) throws IOException {
        InetSocketAddress listen = args.length == 0 ? null : new InetSocketAddress(args[0], 0);
        EventLoop loop = new EventLoop("n0");
        Files.list(Path.of("/proc/self/fd"))
                .close(); // loads the classes that counting needs before the first count
        String before = held();
        AdminServer operator =
                listen == null ? null : new AdminServer(loop, "n0", List.of(), new Nothing());
        MetricsRecorder recorder =
                operator == null ? MetricsRecorder.OFF : operator.metricsRecorder();
        recorder.requestAdmitted("read");
        if (operator != null) {
            operator.listen(listen, null);
        }
        System.out.println("held " + before + " then " + held());
        Runtime.getRuntime().halt(0);
    }

    private static String held() {
        return Thread.getAllStackTraces().size()
                + " threads and "
                + Path.of("/proc/self/fd").toFile().list().length
                + " descriptors";
    }

    /** The status of a node without any state. */
    private static final class Nothing implements NodeStatus {
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
            assertTrue(until + " in " + text.length() + " letters", text.contains(until));
            return text;
        } finally {
            program.destroyForcibly().waitFor();
            Files.delete(log);
        }
    }

    private static boolean loads(String log) {
        return log.contains("trailthread.daemon.admin.") || log.contains("io.prometheus.");
    }

    @Test
    public void switchedOffItIsNotLoaded() throws Exception {
        String main = AdminServerOffTest.class.getName();
        String off = run("held ", Map.of(), main);
        assertFalse("a class is loaded", loads(off));
        String[] held =
                off.lines()
                        .filter(line -> line.startsWith("held "))
                        .findFirst()
                        .orElseThrow()
                        .substring("held ".length())
                        .split(" then ");
        assertEquals(held[0], held[1]);
        assertTrue("what this test looks for", loads(run("held ", Map.of(), main, "127.0.0.1")));
    }

    @Test
    public void theNodeLoadsNothingOfIt() throws Exception {
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
                    "what this test looks for", log.contains("trailthread.engine.loop.EventLoop "));
            assertFalse("a class is loaded", loads(log));
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
