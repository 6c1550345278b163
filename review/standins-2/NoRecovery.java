import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A burst of long answers takes all connections to servers; then its clients leave. */
final class NoRecovery {
    private static final int SERVERS = 4;
    private static final int LONG_CLIENTS = 100;
    private static final int LENGTH = 32 * 1024 * 1024;
    private static final long WORK_MS = 30;
    private static final int ORDINARY_CLIENTS = 24;
    private static final long BETWEEN_MS = 70;
    private static final long BURST_MS = 45_000;
    private static final long QUIET_MS = 5_000;
    private static final long JUDGED_MS = 28_000;

    private static final AtomicInteger ok = new AtomicInteger();
    private static final AtomicInteger refused = new AtomicInteger();
    private static final AtomicInteger failed = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();
    private static final AtomicInteger longHeads = new AtomicInteger();
    private static final AtomicInteger longRefused = new AtomicInteger();
    private static volatile boolean burst;

    public static void main(String[] args) {
        Rig.main(NoRecovery::run);
    }

    private static int run(boolean trouble) throws Exception {
        Rig.Handler handler =
                (request, out) -> {
                    Rig.sleep(WORK_MS);
                    if (!request.first.contains("/export")) {
                        Rig.answer(out, "200 OK", "bench");
                        return;
                    }
                    out.write(
                            ("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n")
                                    .getBytes());
                    byte[] piece = new byte[64 * 1024];
                    for (int at = 0; at < LENGTH; at += piece.length) {
                        out.write(piece);
                    }
                };
        Rig.Discovery discovery = new Rig.Discovery();
        List<Rig.Server> servers = new ArrayList<>();
        List<String> known = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            Rig.Server server = new Rig.Server("s-" + i, handler);
            servers.add(server);
            known.add(server.active());
            discovery.put(server.id, server.active());
        }
        String config =
                Rig.config(discovery, known, 1).replace("\"sockets\":1024", "\"sockets\":256");
        Rig.Node node = Rig.startNode("n1", config);
        node.awaitReady();
        for (int i = 0; i < ORDINARY_CLIENTS; i++) {
            int number = i;
            Rig.thread(() -> ordinary(node, "o" + number));
        }
        Rig.sleep(3000);
        report("before", servers);
        if (trouble) {
            burst = true;
            for (int i = 0; i < LONG_CLIENTS; i++) {
                int number = i;
                Rig.thread(() -> takeLongAnswers(node, "l" + number));
                Rig.sleep(10);
            }
        }
        for (long until = Rig.ms() + BURST_MS; Rig.ms() < until; ) {
            Rig.sleep(4000);
            report("burst", servers);
        }
        Rig.note("clients: those with long answers close their connections (" + longHeads + " had one)");
        burst = false;
        Rig.sleep(QUIET_MS);
        report("left", servers);
        int okBefore = ok.get();
        int sentBefore = sent(servers);
        int endedBefore = ok.get() + refused.get() + failed.get() + unanswered.get();
        for (long until = Rig.ms() + JUDGED_MS; Rig.ms() < until; ) {
            Rig.sleep(4000);
            report("after", servers);
        }
        int served = ok.get() - okBefore;
        int ended = ok.get() + refused.get() + failed.get() + unanswered.get() - endedBefore;
        int attempts = sent(servers) - sentBefore;
        Rig.note(
                "in the last "
                        + JUDGED_MS / 1000
                        + " s: "
                        + ended
                        + " requests ended, "
                        + served
                        + " served, "
                        + attempts
                        + " attempts reached a server");
        node.recordLog();
        if (ended < 15) {
            throw new IllegalStateException("too few requests to tell");
        }
        return attempts == 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static int sent(List<Rig.Server> servers) {
        return servers.stream().mapToInt(s -> s.requests.get()).sum();
    }

    private static void report(String phase, List<Rig.Server> servers) {
        Rig.note(
                phase
                        + ": served "
                        + ok
                        + ", refused "
                        + refused
                        + ", failed "
                        + failed
                        + ", unanswered "
                        + unanswered
                        + "; long answers begun "
                        + longHeads
                        + ", refused or failed "
                        + longRefused
                        + "; attempts at servers "
                        + sent(servers));
    }

    /** Sends an ordinary request every now and then, on connections that it keeps. */
    private static void ordinary(Rig.Node node, String name) {
        for (int i = 0; ; ) {
            try (Socket socket = Rig.connect(node.port)) {
                socket.setSoTimeout(4000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    socket.getOutputStream()
                            .write(
                                    Rig.get("/bench-state/1", name + "-" + i++, "1.200")
                                            .getBytes());
                    Rig.Message answer = Rig.Message.read(in);
                    if (answer == null) {
                        unanswered.incrementAndGet();
                        break;
                    }
                    (answer.first.contains(" 200")
                                    ? ok
                                    : answer.first.contains(" 503") ? refused : failed)
                            .incrementAndGet();
                    Rig.sleep(BETWEEN_MS);
                    if (answer.header("connection").equals("close")) {
                        break;
                    }
                }
            } catch (IOException e) {
                unanswered.incrementAndGet();
                Rig.sleep(BETWEEN_MS);
            }
        }
    }

    /** Asks for a long answer, and reads it in pieces, until the burst is over. */
    private static void takeLongAnswers(Rig.Node node, String name) {
        for (int i = 0; burst; i++) {
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(128 * 1024);
                socket.connect(new InetSocketAddress("127.0.0.1", node.port), 2000);
                socket.setSoTimeout(10_000);
                socket.getOutputStream()
                        .write(Rig.get("/bench-state/export", name + "-" + i, "1.200").getBytes());
                InputStream in = socket.getInputStream();
                Rig.Message head = Rig.Message.readHead(in);
                if (head == null || !head.first.contains(" 200")) {
                    longRefused.incrementAndGet();
                    Rig.sleep(1000);
                    continue;
                }
                longHeads.incrementAndGet();
                byte[] piece = new byte[256 * 1024];
                while (burst && in.readNBytes(piece, 0, piece.length) == piece.length) {
                    for (int pause = 0; burst && pause < 20; pause++) {
                        Rig.sleep(50);
                    }
                }
            } catch (IOException e) {
                longRefused.incrementAndGet();
                Rig.sleep(1000);
            }
        }
    }
}
