import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;

/** A client that takes a long answer in pieces, some seconds apart. */
final class SlowReader {
    private static final int LENGTH = 16 * 1024 * 1024;
    private static final int PIECE = 64 * 1024;
    private static final int PAUSE_MS = 2000;
    private static final long SLOW_FOR_MS = 40_000;

    private static volatile long given;

    public static void main(String[] args) {
        Rig.main(SlowReader::run);
    }

    private static int run(boolean trouble) throws Exception {
        Rig.Server server =
                new Rig.Server(
                        "s-1",
                        (request, out) -> {
                            Rig.note("server: runs " + request.first);
                            out.write(
                                    ("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n")
                                            .getBytes());
                            try {
                                for (int at = 0; at < LENGTH; at += PIECE) {
                                    out.write(new byte[PIECE]);
                                    given = at + PIECE;
                                }
                                Rig.note("server: has given the whole answer");
                            } catch (IOException e) {
                                Rig.note("server: cut off by the node after " + given + " bytes: " + e);
                                throw e;
                            }
                        });
        Rig.Discovery discovery = new Rig.Discovery();
        discovery.put(server.id, server.active());
        Rig.Node node = Rig.startNode("n1", Rig.config(discovery, List.of(server.active()), 1));
        node.awaitReady();

        long received = 0;
        int length = -1;
        String end = "whole";
        try (Socket client = new Socket()) {
            client.setReceiveBufferSize(128 * 1024);
            client.connect(new InetSocketAddress("127.0.0.1", node.port), 2000);
            client.setSoTimeout(15_000);
            Rig.note("client: sends GET /bench-state/export");
            client.getOutputStream()
                    .write(Rig.get("/bench-state/export", "a1", "1.200").getBytes());
            InputStream in = new BufferedInputStream(client.getInputStream());
            Rig.Message head = Rig.Message.readHead(in);
            length = Integer.parseInt(head.header("content-length"));
            Rig.note("client: has " + head.first + ", " + length + " bytes are to follow");
            long began = Rig.ms();
            byte[] buffer = new byte[PIECE];
            while (received < length) {
                int want = (int) Math.min(PIECE, length - received);
                int count = in.readNBytes(buffer, 0, want);
                received += count;
                if (count < want) {
                    end = "the connection has ended";
                    break;
                }
                if (trouble && Rig.ms() - began < SLOW_FOR_MS) {
                    Rig.sleep(PAUSE_MS);
                    if (received % (5 * PIECE) == 0) {
                        Rig.note("client: has read " + received + " bytes; server has given " + given);
                    }
                }
            }
        } catch (IOException e) {
            end = e.toString();
        }
        Rig.note("client: " + received + " of " + length + " bytes: " + end);
        Rig.sleep(500);
        node.recordLog();
        return received == length ? Rig.HELD : Rig.BROKEN;
    }
}
