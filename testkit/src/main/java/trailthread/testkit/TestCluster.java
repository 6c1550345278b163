package trailthread.testkit;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A test cluster: the real program, run as a process, with scripted endpoints, a scripted discovery
 * service and clients, all on loopback.
 */
public final class TestCluster {
    private static final Pattern SERVING_ADDRESS = Pattern.compile("serves on .*:(\\d+)");

    private static final Pattern ADMIN_ADDRESS =
            Pattern.compile("admin server listens on .*:(\\d+)");

    /** Settings with long timeouts, so that tests pass on a slow machine as well. */
    public static final String SETTINGS =
            """
            "categories":[
             {"name":"state","aim_ns":10000000000,"deadline_ns":20000000000,"semantics":"retryable"},
             {"name":"action","aim_ns":10000000000,"deadline_ns":20000000000,"semantics":"dedup",
              "group":"cell","window_ns":20000000000},
             {"name":"use","aim_ns":10000000000,"deadline_ns":20000000000,"semantics":"fragile"}],
            "tenants":[{"name":"acme","quota_per_s":1000.0,"fraction":1.0}],
            "discovery":"on_request","report":{"how":"piggyback","fields":["inflight","queue"]},
            "limits":{"most_tries":6,"retry_after":true,"max_retry_after_ns":1200000000,
             "dial_timeout_ns":10000000000,"idle_close_ns":60000000000,"may_cancel":true},
            "safety":{"drain_grace_ns":0,"ask_every_ns":1000000000}""";

    private static final int POLL_MS = 10;
    private static final int MAX_POLLS = 1000 * ScriptedServer.TIMEOUT_S / POLL_MS;

    private static final AtomicLong LAST_CORRELATION_ID = new AtomicLong(0x9b1f03aa5c7e2d40L);

    /** The discovery service; its watches report no changes unless a test scripts it. */
    public final ScriptedServer discovery = new ScriptedServer(TestCluster::answerWatchUnchanged);

    /** The lines that the program has written since it was started last. */
    public final List<String> log = new CopyOnWriteArrayList<>();

    private final Queue<Closeable> closeables = new ConcurrentLinkedQueue<>();
    private final Path configFile = Files.createTempFile("trailthread", ".json");
    private Process node;

    /** The program's limit of file descriptors. */
    public int descriptorLimit = 256;

    /** The program's limit of its heap. */
    public int maxHeapMegabytes = 64;

    /** More top-level keys of a node's configuration, as JSON, each followed by a comma. */
    public String extraConfig = "";

    /** The command that runs the program's command line, such as {@code nohup}; empty for none. */
    public List<String> launcher = List.of();

    /** The port on which the program serves, or last served. */
    public volatile int port;

    /** Creates a cluster without starting the program. */
    public TestCluster() throws IOException {
        closeables.add(discovery);
    }

    /**
     * Starts the program as a platform node and waits until it serves. A program that has ended may
     * be started again.
     *
     * @param initialEndpoints the endpoints in the configuration
     */
    public TestCluster start(String settings, ScriptedServer... initialEndpoints)
            throws IOException, InterruptedException {
        log.clear();
        runNode(config(settings, initialEndpoints), "serve");
        awaitServing();
        return this;
    }

    /** Starts the program with an operator's file, and waits until it serves. */
    public TestCluster startWithOperatorFile(String toml) throws IOException, InterruptedException {
        log.clear();
        runClass(toml, List.of("trailthread.command.Trailthread", "serve", configFile.toString()));
        awaitServing();
        return this;
    }

    private void awaitServing() throws InterruptedException {
        Matcher address = SERVING_ADDRESS.matcher(awaitLogLine("serves on"));
        assertTrue(address.find());
        port = Integer.parseInt(address.group(1));
    }

    /** A node's configuration with these settings and initial endpoints. */
    public String config(String settings, ScriptedServer... initialEndpoints) {
        return config(discovery, settings, initialEndpoints);
    }

    /** A node's configuration with this discovery service instead of the cluster's own. */
    public String config(
            ScriptedServer discovery, String settings, ScriptedServer... initialEndpoints) {
        return "{"
                + extraConfig
                + "\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                + discovery.hostPort()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":"
                + descriptorLimit
                + "},\"known\":"
                + endpointListJson(1, true, "active", initialEndpoints)
                + ",\"settings\":{"
                + settings
                + "}}";
    }

    /** Starts the program with this configuration, without waiting until it serves. */
    public Process runNode(String json, String... args) throws IOException {
        List<String> arguments = new ArrayList<>(List.of("trailthread.daemon.Main"));
        arguments.addAll(List.of(args));
        return runClass(json, arguments);
    }

    /**
     * Starts the program with a named pipe as its configuration file.
     *
     * @return the pipe's writing end, once the program has opened it for reading
     */
    public OutputStream startWithConfigPipe() throws IOException, InterruptedException {
        Files.delete(configFile);
        assertEquals(0, new ProcessBuilder("mkfifo", configFile.toString()).start().waitFor());
        launch(List.of("trailthread.daemon.Main", "serve"));
        return openConfigPipe();
    }

    /** The pipe's writing end, once the program has opened it for reading. */
    public OutputStream openConfigPipe() throws IOException {
        return Files.newOutputStream(configFile, StandardOpenOption.WRITE);
    }

    private Process runClass(String text, List<String> arguments) throws IOException {
        Files.writeString(configFile, text);
        return launch(arguments);
    }

    private Process launch(List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>(launcher);
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "-Xmx" + maxHeapMegabytes + "m"));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("LB_CONFIG", configFile.toString());
        node = builder.start();
        ProcessOutput.collect(node, log);
        return node;
    }

    /** Waits for a line of the log that contains the text, and returns the first such line. */
    public String awaitLogLine(String text) throws InterruptedException {
        for (int i = 0; i < MAX_POLLS; i++) {
            for (String line : log) {
                if (line.contains(text)) {
                    return line;
                }
            }
            Thread.sleep(POLL_MS);
        }
        throw new AssertionError("no line with '" + text + "' in " + log);
    }

    /** A message of discovery that lists these endpoints, named w0, w1 and so on, all in cell 0. */
    public static String endpointListJson(
            int generation, boolean reset, String lifecycle, ScriptedServer... endpoints) {
        StringBuilder entries = new StringBuilder();
        for (int i = 0; i < endpoints.length; i++) {
            entries.append(i == 0 ? "" : ",")
                    .append("{\"instanceId\":\"w")
                    .append(i)
                    .append("\",\"hostPort\":\"")
                    .append(endpoints[i].hostPort())
                    .append("\",\"zone\":\"a\",\"cell\":0,\"lifecycle\":\"")
                    .append(lifecycle)
                    .append("\",\"weight\":1.0,\"startedAtMs\":0,\"new\":[{}]}");
        }
        return "{\"generation\":"
                + generation
                + ",\"reset\":"
                + reset
                + ",\"instances\":["
                + entries
                + "]}";
    }

    /** Begins the response to a watch request without sending a line of it. */
    public static void beginWatch(Message request) throws IOException {
        Message.send(request.connection(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /** Begins the response to a watch request and sends a heartbeat, an empty line. */
    public static void answerWatchUnchanged(Message request) throws IOException {
        beginWatch(request);
        sendWatchLine(request, "");
    }

    /** Sends a line of the response to a watch request, as one chunk. */
    public static void sendWatchLine(Message watch, String line) throws IOException {
        Message.send(
                watch.connection(),
                Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    /** Opens a client's connection to the program; {@link #close} closes it. */
    public Socket connect() throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        client.setSoTimeout(1000 * ScriptedServer.TIMEOUT_S);
        closeables.add(client);
        return client;
    }

    /** Sends a valid request of a class, on a new connection, and returns the response. */
    public Message sendRequest(String requestClass) throws IOException {
        Socket client = connect();
        Message.send(client, requestText(requestClass, "", ""));
        return Message.read(client);
    }

    /** Sends a request to the program's admin server. */
    public Message sendAdminRequest(String method, String path)
            throws IOException, InterruptedException {
        Matcher address = ADMIN_ADDRESS.matcher(awaitLogLine("admin server listens on"));
        assertTrue(address.find());
        return sendAdminRequest(Integer.parseInt(address.group(1)), method, path);
    }

    /** Sends a request to the admin server on this port. */
    public static Message sendAdminRequest(int adminPort, String method, String path)
            throws IOException {
        try (Socket operator = new Socket(InetAddress.getLoopbackAddress(), adminPort)) {
            operator.setSoTimeout(1000 * ScriptedServer.TIMEOUT_S);
            Message.send(operator, method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
            return Message.read(operator);
        }
    }

    /** Waits until the metrics of the admin server contain this line. */
    public void awaitMetricLine(String line) throws IOException, InterruptedException {
        awaitMetricLine("/-/metrics", line);
    }

    /** Waits until the page of the admin server at this path contains this line. */
    public void awaitMetricLine(String path, String line) throws IOException, InterruptedException {
        String metrics = "";
        for (int i = 0; i < MAX_POLLS; i++) {
            metrics = sendAdminRequest("GET", path).body();
            if (("\n" + metrics).contains("\n" + line + "\n")) {
                return;
            }
            Thread.sleep(POLL_MS);
        }
        throw new AssertionError("no line '" + line + "' in " + metrics);
    }

    /** The text of a valid request of a class, with a unique correlation id. */
    public static String requestText(String requestClass, String query, String headers) {
        boolean idempotent = requestClass.equals("state");
        return (idempotent ? "GET /" : "POST /")
                + requestClass
                + query
                + " HTTP/1.1\r\nHost: api.internal\r\n"
                + "X-Correlation-Id: "
                + Long.toHexString(LAST_CORRELATION_ID.incrementAndGet())
                + "\r\nX-Service-Class: "
                + requestClass
                + "\r\nX-Account: acme\r\nX-Time-Left: 20.000\r\n"
                + headers
                + (requestClass.equals("action") ? "Idempotency-Key: 5c0f6e1a2b3d4c59\r\n" : "")
                + (idempotent ? "\r\n" : "Content-Length: 4\r\n\r\npour");
    }

    /** Replaces the configuration file and sends SIGHUP, as the platform does. */
    public void reload(String json) throws IOException, InterruptedException {
        Path replacement = Files.writeString(Path.of(configFile + ".new"), json);
        Files.move(
                replacement,
                configFile,
                StandardCopyOption.ATOMIC_MOVE); // a read in progress gets the complete old file
        signal("HUP");
    }

    /** How many file descriptors the program has open; -1 if it has ended. */
    public int openDescriptorCount() {
        String[] descriptors = Path.of("/proc", Long.toString(node.pid()), "fd").toFile().list();
        return descriptors == null ? -1 : descriptors.length;
    }

    /** Sends a signal to the program; it has been delivered when this returns. */
    public void signal(String name) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(node.pid()))
                        .start()
                        .waitFor());
    }

    /** Whether the program is running. */
    public boolean isRunning() {
        return node.isAlive();
    }

    /** Sends SIGTERM to the program, as the platform does. */
    public void terminate() {
        node.toHandle().destroy(); // Process.destroy would close the output
    }

    /** Sends SIGKILL to the program. */
    public void kill() {
        node.toHandle().destroyForcibly();
    }

    /** Waits for the program to end; false if it is still running after this time. */
    public boolean exitsWithin(long time, TimeUnit unit) throws InterruptedException {
        return node.waitFor(time, unit);
    }

    /** Waits for the program to end, and returns its exit status. */
    public int exitStatus() throws InterruptedException {
        assertTrue(
                "the program has not ended in time",
                node.waitFor(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS));
        return node.exitValue();
    }

    /** Registers an object that {@link #close} closes, and returns it. */
    public <T extends Closeable> T closeAtEnd(T closeable) {
        closeables.add(closeable);
        return closeable;
    }

    /** Kills the program, and closes all connections and registered objects. */
    public void close() throws IOException, InterruptedException {
        for (Closeable c : closeables) {
            c.close();
        }
        if (node != null) {
            kill();
            node.waitFor();
        }
        Files.deleteIfExists(configFile);
    }
}
