import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** What the cases of the second review share: the record, the node's process, and stand-ins. */
final class Rig {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final int MAX_LOG = 2_000_000;
    private static final long START = System.nanoTime();
    private static PrintWriter record;
    private static final List<Process> processes = new ArrayList<>();
    private static final List<Path> folders = new ArrayList<>();

    private Rig() {}

    /** One case; returns HELD or BROKEN, and throws if it could not run. */
    interface Case {
        int run(boolean trouble) throws Exception;
    }

    static void main(Case theCase) {
        int status = COULD_NOT_RUN;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Thread guard =
                new Thread(
                        () -> {
                            sleep(117_000);
                            note("the case took too long");
                            finish(COULD_NOT_RUN);
                        });
        guard.setDaemon(true);
        guard.start();
        Runtime.getRuntime().addShutdownHook(new Thread(Rig::endProcesses));
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of("record.txt")), true);
            note("the disruption is " + (trouble ? "on" : "off"));
            status = theCase.run(trouble);
            note(status == BROKEN ? "RESULT: the rule was broken" : "RESULT: the rule held");
        } catch (Exception e) {
            note("the case could not run: " + e);
            e.printStackTrace();
        }
        finish(status);
    }

    private static void finish(int status) {
        endProcesses();
        Runtime.getRuntime().halt(status);
    }

    private static synchronized void endProcesses() {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        folders.forEach(folder -> delete(folder.toFile()));
    }

    private static void delete(File file) {
        File[] inside = file.listFiles();
        for (File f : inside == null ? new File[0] : inside) {
            delete(f);
        }
        file.delete();
    }

    static long ms() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void note(String text) {
        String line = String.format(Locale.ROOT, "%7d ms  %s", ms(), text);
        System.out.println(line);
        if (record != null) {
            record.println(line);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void thread(Runnable task) {
        Thread thread = new Thread(null, task, "", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
    }

    // ---- the node ----

    /** A node, started with the command `run` of the deploy file. */
    static final class Node {
        final int port;
        final Process process;
        private final Path log;

        Node(int port, Process process, Path log) {
            this.port = port;
            this.process = process;
            this.log = log;
        }

        void signal(String name) throws Exception {
            note("platform: SIG" + name + " to the node");
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid())
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        void awaitReady() throws Exception {
            long until = ms() + 30_000;
            while (ms() < until) {
                try (Socket socket = Rig.connect(port)) {
                    socket.getOutputStream()
                            .write("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n".getBytes());
                    Message answer = Message.read(new BufferedInputStream(socket.getInputStream()));
                    if (answer != null && answer.first.contains(" 200")) {
                        note("node: ready");
                        return;
                    }
                } catch (IOException e) {
                    // not up yet
                }
                sleep(50);
            }
            throw new IllegalStateException("the node is not ready; its log: " + log());
        }

        String log() {
            StringBuilder text = new StringBuilder();
            try (BufferedReader in = Files.newBufferedReader(log)) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (text.length() < MAX_LOG) {
                        text.append(line).append('\n');
                    }
                }
            } catch (IOException e) {
                text.append(e);
            }
            return text.toString();
        }

        /** Records the first lines, and the first exception. */
        void recordLog() {
            int lines = 0;
            int ofException = 0;
            for (String line : log().split("\n")) {
                boolean isException = line.contains("xception") || line.startsWith("\tat ");
                if (isException ? ofException++ < 8 : lines++ < 25) {
                    note("node's log: " + line);
                }
            }
        }
    }

    /** Starts a node on a free port with this configuration. */
    static Node startNode(String name, String config) throws Exception {
        return startNode(name, config, freePort());
    }

    static Node startNode(String name, String config, int port) throws Exception {
        Path root = Path.of("../..").toRealPath();
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring(7, line.length() - 1);
            }
        }
        Path folder = Files.createTempDirectory("review-2-");
        synchronized (Rig.class) {
            folders.add(folder);
        }
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        Path temporary = Files.createDirectory(folder.resolve("tmp"));
        Path log = folder.resolve("log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.directory(root.toFile());
        builder.environment().put("LB_NAME", name);
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("LB_CONFIG", file.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        builder.redirectInput(new File("/dev/null"));
        Process process = builder.start();
        synchronized (Rig.class) {
            processes.add(process);
        }
        note("platform: started node " + name + " on port " + port);
        return new Node(port, process, log);
    }

    /** The configuration of a small deployment, as in deploy/example.json. */
    static String config(Discovery discovery, List<String> known, int nodes) {
        return "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                + discovery.port()
                + "\",\"seed\":\"5eed\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":{\"generation\":"
                + discovery.generation
                + ",\"reset\":true,\"instances\":["
                + String.join(",", known)
                + "]},\"settings\":{\"categories\":["
                + "{\"name\":\"bench-state\",\"aim_ns\":300000000,\"deadline_ns\":1200000000,"
                + "\"semantics\":\"retryable\",\"group\":\"all\",\"window_ns\":5000000000,\"gain\":1.0},"
                + "{\"name\":\"bench-action\",\"aim_ns\":200000000,\"deadline_ns\":500000000,"
                + "\"semantics\":\"dedup\",\"group\":\"cell\",\"window_ns\":300000000,\"gain\":10.0},"
                + "{\"name\":\"attempt-use\",\"aim_ns\":250000000,\"deadline_ns\":1200000000,"
                + "\"semantics\":\"fragile\",\"group\":\"all\",\"window_ns\":5000000000,\"gain\":2.0}],"
                + "\"me\":0,\"replicas_of_me\":"
                + nodes
                + ",\"tick_ns\":5000000,\"zone\":\"a\",\"zones\":[\"a\"],\"discovery\":\"on_request\","
                + "\"report\":{\"how\":\"piggyback\",\"fields\":[\"inflight\",\"queue\"]},"
                + "\"limits\":{\"may_cancel\":true,\"most_tries\":6,\"probes\":true,"
                + "\"second_copies\":false,\"retry_after\":true,\"max_retry_after_ns\":1200000000,"
                + "\"dial_timeout_ns\":100000000,\"idle_close_ns\":5000000000},"
                + "\"safety\":{\"answer_slack_ns\":20000000,\"ask_every_ns\":10000000000,"
                + "\"drain_grace_ns\":1000000000,\"cold_ns\":8700000000,\"fall_multiple\":2.5,"
                + "\"fall_ns\":3000000000,\"start_capacity\":0.32}}}";
    }

    /** An entry of a list, in discovery's form. */
    static String entry(String id, int port, String lifecycle) {
        return "{\"instanceId\":\""
                + id
                + "\",\"hostPort\":\"127.0.0.1:"
                + port
                + "\",\"zone\":\"a\",\"machineType\":\"std-2core\",\"cell\":0,\"lifecycle\":\""
                + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    // ---- HTTP ----

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        return socket;
    }

    /** The head of a message, and its body if that has a length. */
    static final class Message {
        String first;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        /** Reads a head; returns null at the end of the connection. */
        static Message readHead(InputStream in) throws IOException {
            Message message = new Message();
            message.first = readLine(in);
            if (message.first == null) {
                return null;
            }
            for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                message.headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
            return message;
        }

        /** Reads a message with a length or none. */
        static Message read(InputStream in) throws IOException {
            Message message = readHead(in);
            if (message != null && !message.header("content-length").isEmpty()) {
                int length = Integer.parseInt(message.header("content-length"));
                message.body = in.readNBytes(length);
                if (message.body.length < length) {
                    throw new IOException("the body ends after " + message.body.length);
                }
            }
            return message;
        }

        private static String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return null;
                }
                if (b != '\r') {
                    line.write(b);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }
    }

    /** What a server does with a request. */
    interface Handler {
        void handle(Message request, OutputStream out) throws Exception;
    }

    /** A server that answers requests as its handler says. */
    static final class Server {
        final String id;
        final ServerSocket socket;
        final AtomicInteger requests = new AtomicInteger();

        Server(String id, Handler handler) throws IOException {
            this.id = id;
            socket = listen();
            thread(
                    () -> {
                        while (!socket.isClosed()) {
                            try {
                                Socket accepted = socket.accept();
                                accepted.setTcpNoDelay(true);
                                thread(() -> serve(accepted, handler));
                            } catch (IOException e) {
                                return;
                            }
                        }
                    });
        }

        int port() {
            return socket.getLocalPort();
        }

        String active() {
            return entry(id, port(), "active");
        }

        String leaving() {
            return entry(id, port(), "leaving");
        }

        private void serve(Socket accepted, Handler handler) {
            try (accepted) {
                InputStream in = new BufferedInputStream(accepted.getInputStream());
                for (Message r = Message.read(in); r != null; r = Message.read(in)) {
                    if (r.first.contains("/health") || r.first.contains("/status/load")) {
                        accepted.getOutputStream()
                                .write(
                                        ("HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n"
                                                        + "{\"inflight\":0,\"queue\":0}")
                                                .getBytes());
                        continue;
                    }
                    requests.incrementAndGet();
                    handler.handle(r, accepted.getOutputStream());
                }
            } catch (Exception e) {
                // the node has closed the connection
            }
        }
    }

    static void answer(OutputStream out, String status, String body) throws IOException {
        String text =
                "HTTP/1.1 "
                        + status
                        + "\r\nX-Backend-Load: {\"inflight\":0,\"queue\":0}\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Sends one request on a connection of its own; returns its answer, or null. */
    static Message ask(int port, String request, int timeoutMs) {
        try (Socket socket = connect(port)) {
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return Message.read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return null;
        }
    }

    static String get(String path, String id, String timeLeft) {
        return "GET "
                + path
                + " HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Service-Class: "
                + path.split("[/?]")[1]
                + "\r\nX-Time-Left: "
                + timeLeft
                + "\r\n\r\n";
    }

    // ---- discovery ----

    /**
     * Discovery, which handles calls one after another. Each takes callMs of its time, also one
     * that has waited longer than waitMs and ends in 503.
     */
    static final class Discovery {
        volatile int generation = 1;
        volatile long callMs = 5;
        volatile long waitMs = 1500;
        private final ServerSocket socket;
        private final Map<String, String> list = new LinkedHashMap<>();
        private final List<Watch> watches = new ArrayList<>();
        private final java.util.concurrent.LinkedBlockingQueue<Call> calls =
                new java.util.concurrent.LinkedBlockingQueue<>();
        final ConcurrentLinkedQueue<String> told = new ConcurrentLinkedQueue<>();

        private static final class Call {
            Socket socket;
            Message request;
            long at = ms();
            final CountDownLatch done = new CountDownLatch(1);
            final java.util.concurrent.atomic.AtomicBoolean ended =
                    new java.util.concurrent.atomic.AtomicBoolean();
        }

        private static final class Watch {
            Socket socket;
            volatile boolean silent;
            boolean ofNode;
        }

        Discovery() throws IOException {
            socket = listen();
            thread(this::accept);
            thread(this::handleCalls);
            thread(this::expireCalls);
            thread(this::heartbeat);
        }

        int port() {
            return socket.getLocalPort();
        }

        synchronized void put(String id, String entry) {
            list.put(id, entry);
        }

        private void accept() {
            while (true) {
                try {
                    Socket accepted = socket.accept();
                    thread(
                            () -> {
                                try {
                                    Call call = new Call();
                                    call.socket = accepted;
                                    accepted.setTcpNoDelay(true);
                                    call.request =
                                            Message.read(
                                                    new BufferedInputStream(
                                                            accepted.getInputStream()));
                                    if (call.request != null) {
                                        call.at = ms();
                                        if (isNode(call)) {
                                            note("discovery: a call of the node arrives");
                                        }
                                        calls.add(call);
                                    }
                                } catch (IOException e) {
                                    // the caller has gone
                                }
                            });
                } catch (IOException e) {
                    return;
                }
            }
        }

        /** The other callers of a case name themselves; the node does not. */
        private static boolean isNode(Call call) {
            return call.request.header("x-other-node").isEmpty();
        }

        private void handleCalls() {
            while (true) {
                try {
                    Call call = calls.take();
                    sleep(callMs);
                    if (call.ended.compareAndSet(false, true)) {
                        serve(call);
                    }
                } catch (IOException | InterruptedException e) {
                    // the caller has gone
                }
            }
        }

        private void expireCalls() {
            while (true) {
                sleep(10);
                for (Call call : calls) {
                    if (ms() - call.at >= waitMs && call.ended.compareAndSet(false, true)) {
                        try (Socket s = call.socket) {
                            s.getOutputStream()
                                    .write(
                                            "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
                                                    .getBytes());
                            if (isNode(call)) {
                                note(
                                        "discovery: 503 to the node's call, which waited "
                                                + (ms() - call.at)
                                                + " ms behind other callers");
                            }
                        } catch (IOException e) {
                            // the caller has gone
                        }
                    }
                }
            }
        }

        private synchronized void serve(Call call) throws IOException {
            Watch watch = new Watch();
            watch.socket = call.socket;
            watch.ofNode = isNode(call);
            String all =
                    "{\"generation\":"
                            + generation
                            + ",\"reset\":true,\"instances\":["
                            + String.join(",", list.values())
                            + "]}\n";
            if (!call.request.first.contains("stream=1")) {
                call.socket
                        .getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\nContent-Length: "
                                                + all.length()
                                                + "\r\n\r\n"
                                                + all)
                                        .getBytes());
                call.socket.close();
                return;
            }
            call.socket
                    .getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
            if (watch.ofNode) {
                note("discovery: the node has a watch, and the whole list " + all.strip());
                told.add("full");
            }
            write(watch, all);
            watches.add(watch);
        }

        private void write(Watch watch, String text) {
            if (watch.silent) {
                return;
            }
            try {
                watch.socket
                        .getOutputStream()
                        .write(
                                (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                                        .getBytes());
            } catch (IOException e) {
                watch.silent = true;
            }
        }

        private void heartbeat() {
            while (true) {
                sleep(2000);
                synchronized (this) {
                    watches.forEach(w -> write(w, "\n"));
                }
            }
        }

        /** Changes an entry, and tells all watches. */
        synchronized void change(String id, String entry) {
            generation++;
            list.put(id, entry);
            String text =
                    "{\"generation\":" + generation + ",\"reset\":false,\"instances\":[" + entry + "]}\n";
            int open = 0;
            for (Watch w : watches) {
                write(w, text);
                open += w.silent || !w.ofNode ? 0 : 1;
            }
            note("discovery: has " + text.strip() + "; told to " + open + " watch(es) of the node");
        }

        /** Resets all watches. */
        synchronized void resetWatches() {
            note("discovery: resets all open watches (" + watches.size() + ")");
            for (Watch w : watches) {
                try {
                    w.silent = true;
                    w.socket.setSoLinger(true, 0);
                    w.socket.close();
                } catch (IOException e) {
                    // already gone
                }
            }
            watches.clear();
        }
    }
}
