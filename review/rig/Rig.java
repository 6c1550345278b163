package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * What the cases of the review share: the node as the deploy file starts it, stand-ins for
 * discovery, servers and clients on loopback, and the record. Exit codes: 1 the rule was broken, 0
 * it held, 2 the case could not run.
 */
final class Rig implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private final Path root = Path.of(System.getProperty("review.root")).toAbsolutePath();
    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final Path tmp;
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    Rig() throws IOException {
        Path folder = Path.of(System.getProperty("review.case"));
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        tmp = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        log("TROUBLE=%d", TROUBLE ? 1 : 0);
    }

    /** Milliseconds since the start of the case. */
    double ms() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    synchronized void log(String format, Object... args) {
        record.println(
                String.format(Locale.ROOT, "%9.1f  ", ms()) + String.format(Locale.ROOT, format, args));
    }

    /** Ends the case. */
    void finish(int code, String why) {
        String word = code == HELD ? "HELD" : code == BROKEN ? "BROKEN" : "COULD NOT RUN";
        log("%s: %s", word, why);
        System.out.println(word + ": " + why);
        close();
        Runtime.getRuntime().halt(code);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(null, task, "rig", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- the node ----

    Path write(String name, String text) throws IOException {
        Path next = tmp.resolve(name + ".new");
        Files.writeString(next, text);
        Path path = tmp.resolve(name);
        Files.move(next, path, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        return path;
    }

    /** Starts a node with the command of the deploy file. */
    Process startNode(Path config, Map<String, String> more) throws IOException {
        String run =
                Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = \""))
                        .map(line -> line.substring(7, line.length() - 1))
                        .findFirst()
                        .orElseThrow();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.directory(root.toFile());
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("TMPDIR", Files.createTempDirectory(tmp, "node").toString());
        builder.environment().putAll(more);
        builder.redirectErrorStream(true);
        Process process = builder.start();
        processes.add(process);
        log("node started, pid %d", process.pid());
        thread(
                () -> {
                    try (var lines = process.inputReader()) {
                        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                            log("node log: %s", line);
                        }
                    } catch (IOException e) {
                        log("node log ended: %s", e);
                    }
                });
        return process;
    }

    void signal(Process process, String name) throws IOException {
        log("SIG%s to the node", name);
        Process kill = new ProcessBuilder("kill", "-" + name, "" + process.pid()).start();
        try {
            kill.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until GET /ready says 200; else the case can't run. */
    void awaitReady(Process node, int port) {
        double until = ms() + 30_000;
        while (ms() < until && node.isAlive()) {
            try (Client client = new Client(port)) {
                client.send("GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n");
                if (client.receive(1000).status == 200) {
                    log("the node is ready");
                    return;
                }
            } catch (IOException e) {
                // not there yet
            }
            sleep(50);
        }
        finish(COULD_NOT_RUN, "the node did not become ready");
    }

    @Override
    public synchronized void close() {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        try (var paths = Files.walk(tmp)) {
            paths.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException | java.io.UncheckedIOException e) {
            // gone already
        }
    }

    // ---- messages ----

    /** One HTTP message: its first line, headers and body. */
    static final class Message {
        String start = "";
        int status = -1;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** How the message ended: whole, timeout, end (of the connection) or reset. */
        String ending = "whole";

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String path() {
            return start.split(" ")[1];
        }

        String method() {
            return start.split(" ")[0];
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** Reads a head; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Message message = new Message();
        message.start = start;
        if (start.startsWith("HTTP/")) {
            message.status = Integer.parseInt(start.split(" ")[1]);
        }
        for (String line = line(in); ; line = line(in)) {
            if (line == null) {
                return null;
            }
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
    }

    /** Reads the body of a message with a length or in chunks. */
    static void readBody(InputStream in, Message message) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (message.header("transfer-encoding").equals("chunked")) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    message.ending = "end";
                    break;
                }
                int count = Integer.parseInt(size.strip(), 16);
                byte[] piece = in.readNBytes(count);
                body.write(piece);
                if (piece.length < count || line(in) == null) {
                    message.ending = "end";
                    break;
                }
                if (count == 0) {
                    break;
                }
            }
        } else if (!message.header("content-length").isEmpty()) {
            int length = Integer.parseInt(message.header("content-length"));
            byte[] piece = in.readNBytes(length);
            body.write(piece);
            if (piece.length < length) {
                message.ending = "end";
            }
        }
        message.body = body.toByteArray();
    }

    // ---- clients ----

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 3000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            send(text.getBytes(StandardCharsets.ISO_8859_1), 0, text.length());
        }

        void send(byte[] bytes, int from, int count) throws IOException {
            out.write(bytes, from, count);
            out.flush();
        }

        /** Receives an answer; its ending says whether it came whole within the time. */
        Message receive(long timeoutMs) throws IOException {
            Message message = null;
            try {
                socket.setSoTimeout((int) Math.max(1, timeoutMs));
                message = readHead(in);
                if (message == null) {
                    message = new Message();
                    message.ending = "end";
                    return message;
                }
                readBody(in, message);
            } catch (java.net.SocketTimeoutException e) {
                message = message == null ? new Message() : message;
                message.ending = "timeout";
            } catch (java.net.SocketException e) {
                message = message == null ? new Message() : message;
                message.ending = "reset";
            }
            return message;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // ---- servers ----

    /** What a stand-in does with a connection on which a request's head has come. */
    interface Handler {
        /** Returns whether the connection may carry another request. */
        boolean handle(Server server, Message head, InputStream in, OutputStream out, Socket socket)
                throws IOException;
    }

    /** A stand-in that listens on a port of its own. */
    static final class Server {
        final String id;
        final int port;
        final ServerSocket listening;

        Server(String id, int receiveBuffer, Handler handler) throws IOException {
            this.id = id;
            listening = new ServerSocket();
            if (receiveBuffer > 0) {
                listening.setReceiveBufferSize(receiveBuffer);
            }
            listening.bind(new InetSocketAddress(LOOPBACK, 0), 1024);
            port = listening.getLocalPort();
            thread(() -> accept(handler));
        }

        private void accept(Handler handler) {
            while (!listening.isClosed()) {
                try {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    thread(() -> serve(socket, handler));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
                OutputStream out = socket.getOutputStream();
                for (Message head = readHead(in); head != null; head = readHead(in)) {
                    if (!handler.handle(this, head, in, out, socket)) {
                        return;
                    }
                }
            } catch (IOException | RuntimeException e) {
                // the peer has closed the connection
            }
        }
    }

    static void answer(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head =
                "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(bytes, bytes.length + body.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        out.write(all);
        out.flush();
    }

    // ---- discovery ----

    /** A stand-in for discovery: a list with changes, told on watches. */
    static class Discovery {
        final Rig rig;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private int generation = 1;
        private final List<Watch> watches = new ArrayList<>();
        Server server;

        Discovery(Rig rig) throws IOException {
            this.rig = rig;
            server = new Server("discovery", 0, (self, head, in, out, socket) -> call(head, out, socket));
        }

        int port() {
            return server.port;
        }

        static String entry(String id, int port, int cell, String lifecycle) {
            return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port
                    + "\",\"zone\":\"a\",\"cell\":" + cell + ",\"lifecycle\":\"" + lifecycle
                    + "\",\"weight\":1.0,\"startedAtMs\":0}";
        }

        synchronized void put(String id, int port, int cell, String lifecycle) {
            entries.put(id, entry(id, port, cell, lifecycle));
            generation++;
            for (Watch watch : List.copyOf(watches)) {
                watch.tell(object(false, List.of(entries.get(id))) + "\n");
            }
        }

        synchronized String whole() {
            return object(true, List.copyOf(entries.values()));
        }

        private String object(boolean reset, List<String> instances) {
            return "{\"generation\":" + generation + ",\"reset\":" + reset + ",\"instances\":["
                    + String.join(",", instances) + "]}";
        }

        /** Resets all open watches. */
        synchronized void breakWatches() {
            for (Watch watch : List.copyOf(watches)) {
                try {
                    watch.socket.setSoLinger(true, 0);
                    watch.socket.close();
                } catch (IOException e) {
                    // closed already
                }
            }
            watches.clear();
        }

        boolean call(Message head, OutputStream out, Socket socket) throws IOException {
            if (!head.path().contains("stream=1")) {
                answer(out, 200, "Content-Type: application/json\r\n",
                        whole().getBytes(StandardCharsets.US_ASCII));
                return true;
            }
            Watch watch = new Watch(socket, out);
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
            synchronized (this) {
                watch.tell(whole() + "\n");
                watches.add(watch);
            }
            while (!socket.isClosed() && watch.tell("\n")) {
                sleep(2000);
            }
            return false;
        }

        private record Watch(Socket socket, OutputStream out) {
            synchronized boolean tell(String text) {
                try {
                    out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
                    out.flush();
                    return true;
                } catch (IOException e) {
                    return false;
                }
            }
        }
    }

    /** The node's configuration with these settings. */
    String config(int port, int discovery, String known, String settings) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
                + ",\"settings\":" + settings + "}";
    }

    /** Settings like those of deploy/example.json, with the figures of the users' site. */
    static String settings(String more) {
        return "{\"categories\":["
                + "{\"name\":\"bench-state\",\"aim_ns\":300000000,\"deadline_ns\":1200000000,\"semantics\":\"retryable\",\"group\":\"all\",\"window_ns\":5000000000,\"gain\":1.0,\"late_value\":0.0,\"stream\":false},"
                + "{\"name\":\"bench-action\",\"aim_ns\":200000000,\"deadline_ns\":500000000,\"semantics\":\"dedup\",\"group\":\"cell\",\"window_ns\":300000000,\"gain\":10.0,\"late_value\":0.0,\"stream\":false},"
                + "{\"name\":\"attempt-use\",\"aim_ns\":250000000,\"deadline_ns\":1200000000,\"semantics\":\"fragile\",\"group\":\"all\",\"window_ns\":5000000000,\"gain\":2.0,\"late_value\":0.0,\"stream\":false}],"
                + "\"zone\":\"a\",\"zones\":[\"a\"],\"discovery\":\"on_request\",\"report\":{\"how\":\"piggyback\",\"fields\":[\"inflight\",\"queue\"]},"
                + "\"replicas_of_me\":3,\"me\":0,"
                + "\"limits\":{\"retry_after\":true,\"max_retry_after_ns\":1200000000,\"dial_timeout_ns\":100000000,\"idle_close_ns\":5000000000,\"may_cancel\":true,\"most_tries\":6,\"probes\":true,\"second_copies\":false},"
                + "\"safety\":{\"answer_slack_ns\":20000000,\"ask_every_ns\":10000000000,\"drain_grace_ns\":1000000000,\"cold_ns\":8700000000,\"start_capacity\":0.32,\"fall_multiple\":2.5,\"fall_ns\":3000000000}"
                + more + "}";
    }

    static String known(String... entries) {
        return "{\"generation\":0,\"reset\":true,\"instances\":[" + String.join(",", entries) + "]}";
    }
}
