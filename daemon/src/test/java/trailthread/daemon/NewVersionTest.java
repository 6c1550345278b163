package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.ListeningSocketHolder;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** A new process takes over from an old one on an inherited socket without losing a request. */
public class NewVersionTest {
    private static final String SERVES = "serves on";
    private static final int REQUESTS = 50;

    private final TestCluster cluster = new TestCluster();
    private final ListeningSocketHolder holder = cluster.closeAtEnd(new ListeningSocketHolder());
    private final Path config = Files.createTempFile("trailthread", ".json");

    public NewVersionTest() throws Exception {
        cluster.port = holder.port;
    }

    @After
    public void end() throws Exception {
        cluster.close();
        Files.delete(config);
    }

    private long start() throws Exception {
        return holder.start(
                "LB_MANAGEMENT=127.0.0.1:0 LB_CONFIG=" + config,
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "-Xmx64m",
                        "trailthread.daemon.Main",
                        "serve"));
    }

    @Test
    public void theOldProcessFinishesItsRequestsAndTheNewOneTakesOver() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(
                                request -> {
                                    if (request.startLine().startsWith("POST /use")) {
                                        ScriptedServer.await(answer);
                                    }
                                    request.respond("200 OK", "", "made");
                                }));
        Files.writeString(config, cluster.config(TestCluster.SETTINGS, endpoint));
        long old = start();
        holder.awaitLogMatch(SERVES, 1);
        Socket inFlight = cluster.connect();
        Message.send(inFlight, TestCluster.requestText("use", "", ""));
        Socket idle = cluster.connect();
        Message.send(idle, TestCluster.requestText("state", "", ""));
        assertEquals("made", Message.read(idle).body());
        start();
        holder.awaitLogMatch(SERVES, 2);
        CompletableFuture<Void> ended =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                ListeningSocketHolder.terminate(old);
                            } catch (Exception e) {
                                throw new AssertionError(e);
                            }
                        });
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals("made", cluster.sendRequest("state").body());
        }
        assertEquals("idle connections are closed", -1, idle.getInputStream().read());
        answer.countDown();
        Message served = Message.read(inFlight);
        assertEquals("made", served.body());
        assertEquals("close", served.header("Connection"));
        ended.get(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
        assertEquals("made", cluster.sendRequest("state").body());
        assertEquals(
                "endpoints received only clients' requests",
                REQUESTS + 3,
                endpoint.requests.size());
    }

    private int adminPort(int process) throws Exception {
        return Integer.parseInt(holder.awaitLogMatch("admin server listens on .*:(\\d+)", process));
    }

    @Test
    public void aNewProcessThatDiesDoesNotDisturbTheOldOne() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        Files.writeString(config, cluster.config(TestCluster.SETTINGS, endpoint));
        start();
        holder.awaitLogMatch(SERVES, 1);
        for (int i = 2; i < 4; i++) {
            long killed = start();
            adminPort(i); // waits until the start is in progress
            assertTrue(ProcessHandle.of(killed).orElseThrow().destroyForcibly());
            assertEquals("made", cluster.sendRequest("use").body());
        }
        Files.writeString(config, "{");
        start();
        holder.awaitLogMatch("LB_CONFIG|JSON", 1);
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals("made", cluster.sendRequest("use").body());
        }
        assertEquals(200, TestCluster.sendAdminRequest(adminPort(1), "GET", "/-/ready").status());
    }

    @Test
    public void severalUpgradesInARowAlsoDuringADrain() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        Files.writeString(config, cluster.config(TestCluster.SETTINGS, endpoint));
        long old = start();
        holder.awaitLogMatch(SERVES, 1);
        for (int i = 2; i < 5; i++) {
            boolean drained = i == 3;
            if (drained) {
                assertEquals(
                        200,
                        TestCluster.sendAdminRequest(adminPort(i - 1), "POST", "/-/drain")
                                .status());
            }
            long next = start();
            holder.awaitLogMatch(SERVES, i);
            assertEquals(
                    200, TestCluster.sendAdminRequest(adminPort(i), "GET", "/-/ready").status());
            assertEquals(
                    drained ? 503 : 200,
                    TestCluster.sendAdminRequest(adminPort(i - 1), "GET", "/-/ready").status());
            ListeningSocketHolder.terminate(old);
            assertEquals("made", cluster.sendRequest("use").body());
            old = next;
        }
    }

    @Test
    public void anUnusableDescriptorIsReported() throws Exception {
        for (String descriptor : List.of("0", "3", "x")) {
            Files.writeString(config, cluster.config(TestCluster.SETTINGS));
            ProcessBuilder builder =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "trailthread.daemon.Main",
                                    "serve")
                            .redirectErrorStream(true);
            builder.environment().put("LB_CONFIG", config.toString());
            builder.environment().put("LB_SOCKET_FD", descriptor);
            Process process = builder.start();
            String output =
                    new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(2, process.waitFor());
            assertTrue(
                    output,
                    output.startsWith("trailthread: LB_SOCKET_FD: ")
                            && output.lines().count() == 1);
        }
    }
}
