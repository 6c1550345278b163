import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;

/** A server takes ten seconds to write a short answer whose length it does not tell. */
final class SlowShortAnswer {
    private static final int PIECES = 100;
    private static final int PIECE = 400;
    private static final int PIECE_MS = 100;
    private static final long TIME_MS = 1200;
    private static final long LOST_AFTER_MS = 500;

    public static void main(String[] args) {
        Rig.main(SlowShortAnswer::run);
    }

    private static int run(boolean trouble) throws Exception {
        Rig.Server server =
                new Rig.Server(
                        "s-1",
                        (request, out) -> {
                            Rig.note("server: runs " + request.first);
                            out.write(
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            .getBytes());
                            String piece = "x".repeat(PIECE);
                            for (int i = 0; i < PIECES; i++) {
                                out.write(
                                        (Integer.toHexString(PIECE) + "\r\n" + piece + "\r\n")
                                                .getBytes());
                                Rig.sleep(trouble ? PIECE_MS : 1);
                            }
                            out.write("0\r\n\r\n".getBytes());
                            Rig.note("server: has given the whole answer");
                        });
        Rig.Discovery discovery = new Rig.Discovery();
        discovery.put(server.id, server.active());
        Rig.Node node = Rig.startNode("n1", Rig.config(discovery, List.of(server.active()), 1));
        node.awaitReady();
        int broken = 0;
        for (int i = 0; i < 3; i++) {
            long took = request(node, "a" + i);
            broken += took > TIME_MS + LOST_AFTER_MS ? 1 : 0;
        }
        node.recordLog();
        return broken > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Returns after how long the client knew the end of its request. */
    private static long request(Rig.Node node, String id) throws IOException {
        try (Socket client = Rig.connect(node.port)) {
            client.setSoTimeout(20_000);
            client.getOutputStream()
                    .write(Rig.get("/bench-state/1", id, "1.200").getBytes());
            long sent = Rig.ms();
            Rig.note("client: sends " + id + " with 1.2 s");
            InputStream in = new BufferedInputStream(client.getInputStream());
            Rig.Message head = Rig.Message.readHead(in);
            Rig.note("client: " + id + " has " + head.first + " after " + (Rig.ms() - sent) + " ms");
            if (!head.header("content-length").isEmpty()) {
                in.readNBytes(Integer.parseInt(head.header("content-length")));
                return Rig.ms() - sent;
            }
            byte[] end = "0\r\n\r\n".getBytes();
            int matched = 0;
            int bytes = 0;
            while (matched < end.length) {
                int b = in.read();
                if (b < 0) {
                    Rig.note("client: " + id + " is cut off after " + (Rig.ms() - sent) + " ms");
                    return Rig.ms() - sent;
                }
                bytes++;
                matched = b == end[matched] ? matched + 1 : b == end[0] ? 1 : 0;
            }
            Rig.note(
                    "client: "
                            + id
                            + " has its last byte after "
                            + (Rig.ms() - sent)
                            + " ms, "
                            + bytes
                            + " with the chunks' lines");
            return Rig.ms() - sent;
        }
    }
}
