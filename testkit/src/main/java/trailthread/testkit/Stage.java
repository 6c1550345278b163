package trailthread.testkit;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The real program between scripted endpoints, a scripted discovery and a client, all on loopback.
 */
public final class Stage {
    private static final Pattern SERVES = Pattern.compile("serves on .*:(\\d+)");

    private static final Pattern DOOR = Pattern.compile("operators are told on .*:(\\d+)");

    /** The settings of the tests: generous times, so that a slow machine changes no verdict. */
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

    private static final AtomicLong LAST_ID = new AtomicLong(0x9b1f03aa5c7e2d40L);

    public final Peer discovery = new Peer(Stage::watchUnchanged);

    /** What the program has written so far. */
    public final List<String> log = new CopyOnWriteArrayList<>();

    private final List<Closeable> open = new ArrayList<>();
    private final Path config = Files.createTempFile("trailthread", ".json");
    private Process node;
    public int sockets = 256;

    /** Further keys of the configuration, each with a comma after it. */
    public String more = "";

    /** Where the program serves, or did last. */
    public volatile int port;

    public Stage() throws IOException {
        open.add(discovery);
    }

    /**
     * Starts the node, once more if it has ended, with these settings and endpoints known; it then
     * serves.
     */
    public Stage start(String settings, Peer... known) throws IOException, InterruptedException {
        log.clear();
        run(config(settings, known), "serve");
        Matcher serves = SERVES.matcher(logged("serves on"));
        assertTrue(serves.find());
        port = Integer.parseInt(serves.group(1));
        return this;
    }

    /** Starts the program with an operator's file, through the command line; it then serves. */
    public Stage serve(String toml) throws IOException, InterruptedException {
        log.clear();
        runClass(toml, List.of("trailthread.command.Trailthread", "serve", config.toString()));
        Matcher serves = SERVES.matcher(logged("serves on"));
        assertTrue(serves.find());
        port = Integer.parseInt(serves.group(1));
        return this;
    }

    public String config(String settings, Peer... known) {
        return config(discovery, settings, known);
    }

    public String config(Peer discovery, String settings, Peer... known) {
        return "{"
                + more
                + "\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                + discovery.hostPort()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":"
                + sockets
                + "},\"known\":"
                + list(1, true, "active", known)
                + ",\"settings\":{"
                + settings
                + "}}";
    }

    /** Runs the program with this configuration; what it writes goes to the log. */
    public Process run(String json, String... args) throws IOException {
        List<String> words = new ArrayList<>(List.of("trailthread.daemon.Main"));
        words.addAll(List.of(args));
        return runClass(json, words);
    }

    /**
     * Starts the program with a pipe in place of its file; returns its end once the program reads
     * there.
     */
    public OutputStream startAtPipe() throws IOException, InterruptedException {
        Files.delete(config);
        assertEquals(0, new ProcessBuilder("mkfifo", config.toString()).start().waitFor());
        launch(List.of("trailthread.daemon.Main", "serve"));
        return pipe();
    }

    /** The pipe's end, once the program reads from it. */
    public OutputStream pipe() throws IOException {
        return Files.newOutputStream(config, StandardOpenOption.WRITE);
    }

    private Process runClass(String text, List<String> words) throws IOException {
        Files.writeString(config, text);
        return launch(words);
    }

    private Process launch(List<String> words) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "-Xmx64m"));
        command.addAll(words);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("LB_CONFIG", config.toString());
        node = builder.start();
        BufferedReader reader = node.inputReader(StandardCharsets.UTF_8);
        Thread drain = new Thread(() -> reader.lines().forEach(log::add));
        drain.setDaemon(true);
        drain.start();
        return node;
    }

    /** The first line of the log that holds this, which must come. */
    public String logged(String part) throws InterruptedException {
        for (int i = 0; i < 100 * Peer.LONGEST_WAIT_S; i++) {
            for (String line : log) {
                if (line.contains(part)) {
                    return line;
                }
            }
            Thread.sleep(10);
        }
        throw new AssertionError("nothing logged with '" + part + "' in " + log);
    }

    /** An object of discovery with these endpoints, the first in cell 0 as w0, and so on. */
    public static String list(int generation, boolean reset, String lifecycle, Peer... endpoints) {
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

    /** Opens a watch and says nothing. */
    public static void watch(Message request) throws IOException {
        Message.send(request.connection(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /** Opens a watch, on which nothing has changed. */
    public static void watchUnchanged(Message request) throws IOException {
        watch(request);
        line(request, "");
    }

    /** Sends a line on a watch. */
    public static void line(Message watch, String line) throws IOException {
        Message.send(
                watch.connection(),
                Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    /** A client's connection. */
    public Socket connect() throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        client.setSoTimeout(1000 * Peer.LONGEST_WAIT_S);
        open.add(client);
        return client;
    }

    /** Sends a well-formed call of a class and reads its answer. */
    public Message call(String requestClass) throws IOException {
        Socket client = connect();
        Message.send(client, request(requestClass, "", ""));
        return Message.read(client);
    }

    /** Makes a call at the operators' door. */
    public Message manage(String method, String path) throws IOException, InterruptedException {
        Matcher at = DOOR.matcher(logged("operators are told on"));
        assertTrue(at.find());
        return manage(Integer.parseInt(at.group(1)), method, path);
    }

    /** The same at a door of another process. */
    public static Message manage(int door, String method, String path) throws IOException {
        try (Socket operator = new Socket(InetAddress.getLoopbackAddress(), door)) {
            operator.setSoTimeout(1000 * Peer.LONGEST_WAIT_S);
            Message.send(operator, method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
            return Message.read(operator);
        }
    }

    /** Waits until the figures at the operators' door hold this line. */
    public void awaitFigure(String line) throws IOException, InterruptedException {
        String figures = "";
        for (int i = 0; i < 100 * Peer.LONGEST_WAIT_S; i++) {
            figures = manage("GET", "/-/metrics").body();
            if (("\n" + figures).contains("\n" + line + "\n")) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError(line + " in " + figures);
    }

    /** A well-formed call of a class with a query and further headers, under an id of its own. */
    public static String request(String requestClass, String query, String headers) {
        boolean safe = requestClass.equals("state");
        return (safe ? "GET /" : "POST /")
                + requestClass
                + query
                + " HTTP/1.1\r\nHost: api.internal\r\n"
                + "X-Correlation-Id: "
                + Long.toHexString(LAST_ID.incrementAndGet())
                + "\r\nX-Service-Class: "
                + requestClass
                + "\r\nX-Account: acme\r\nX-Time-Left: 20.000\r\n"
                + headers
                + (requestClass.equals("action") ? "Idempotency-Key: 5c0f6e1a2b3d4c59\r\n" : "")
                + (safe ? "\r\n" : "Content-Length: 4\r\n\r\npour");
    }

    /** Replaces the configuration and says so, as the platform does. */
    public void reload(String json) throws IOException, InterruptedException {
        Path beside = Files.writeString(Path.of(config + ".new"), json);
        Files.move(
                beside,
                config,
                StandardCopyOption.ATOMIC_MOVE); // a reading under way finds the old one whole
        signal("HUP");
    }

    /** How many file descriptors the program holds. */
    public int descriptors() {
        String[] held = Path.of("/proc", Long.toString(node.pid()), "fd").toFile().list();
        return held == null ? -1 : held.length;
    }

    /** Sends the program a signal, which has been delivered when this returns. */
    public void signal(String name) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(node.pid()))
                        .start()
                        .waitFor());
    }

    /** Whether the program has not ended. */
    public boolean isRunning() {
        return node.isAlive();
    }

    /** Asks the program to end, as the platform does. */
    public void terminate() {
        node.toHandle().destroy(); // the process's own destroy would close the log
    }

    public int exitStatus() throws InterruptedException {
        assertTrue("the program was to end", node.waitFor(Peer.LONGEST_WAIT_S, TimeUnit.SECONDS));
        return node.exitValue();
    }

    /** What is closed with the stage. */
    public <T extends Closeable> T add(T peer) {
        open.add(peer);
        return peer;
    }

    /** Ends the program and all that was opened for it. */
    public void end() throws IOException, InterruptedException {
        for (Closeable c : open) {
            c.close();
        }
        if (node != null) {
            node.toHandle().destroyForcibly();
            node.waitFor();
        }
        Files.deleteIfExists(config);
    }
}
