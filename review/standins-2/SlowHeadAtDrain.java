import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A node is drained while clients are writing the heads of their requests. */
final class SlowHeadAtDrain {
    private static final int CLIENTS = 10;
    private static final int PIECES = 4;
    private static final long HEAD_MS = 1800;

    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();
    private static final AtomicInteger unclear = new AtomicInteger();

    public static void main(String[] args) {
        Rig.main(SlowHeadAtDrain::run);
    }

    private static int run(boolean trouble) throws Exception {
        Rig.Server server = new Rig.Server("s-1", (r, out) -> Rig.answer(out, "200 OK", "bench"));
        Rig.Discovery discovery = new Rig.Discovery();
        discovery.put(server.id, server.active());
        int management = Rig.freePort();
        String config =
                Rig.config(discovery, List.of(server.active()), 1)
                        .replace(
                                "\"seed\"",
                                "\"management\":\"127.0.0.1:" + management + "\",\"seed\"");
        Rig.Node node = Rig.startNode("n1", config);
        node.awaitReady();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Rig.thread(() -> client(node, "a" + number));
        }
        Rig.sleep(200);
        if (trouble) {
            Rig.Message answer =
                    Rig.ask(
                            management,
                            "POST /-/drain HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n",
                            2000);
            Rig.note("operator: POST /-/drain, answered " + (answer == null ? null : answer.first));
        }
        Rig.sleep(6000);
        Rig.note(
                answered
                        + " answered, "
                        + lost
                        + " closed with no answer after their last byte was written, "
                        + unclear
                        + " closed before; requests at the server "
                        + server.requests);
        node.recordLog();
        return lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Connects, and takes some time to write the head, in pieces. */
    private static void client(Rig.Node node, String id) {
        String head = Rig.get("/bench-state/1", id, "1.200");
        boolean written = false;
        try (Socket socket = Rig.connect(node.port)) {
            socket.setSoTimeout(4000);
            OutputStream out = socket.getOutputStream();
            long began = Rig.ms();
            for (int i = 0; i < PIECES; i++) {
                Rig.sleep(began + i * HEAD_MS / (PIECES - 1) - Rig.ms());
                out.write(
                        head.substring(
                                        i * head.length() / PIECES,
                                        (i + 1) * head.length() / PIECES)
                                .getBytes());
            }
            written = true;
            Rig.note("client: " + id + " has written its last byte after " + (Rig.ms() - began));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Rig.Message answer = Rig.Message.read(in);
            Rig.note("client: " + id + " has " + (answer == null ? "no answer, the connection has ended" : answer.first));
            (answer == null ? lost : answered).incrementAndGet();
        } catch (IOException e) {
            Rig.note("client: " + id + " " + e + (written ? "" : ", before its last byte"));
            (written ? lost : unclear).incrementAndGet();
        }
    }
}
