import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A planned restart while a long answer is being passed on. */
final class LongAnswerAtRestart {
    private static final int LENGTH = 8 * 1024 * 1024;
    private static final int PIECE = 64 * 1024;
    private static final int PIECE_MS = 60;
    private static final long KILL_AFTER_MS = 20_000;

    private static volatile boolean serverGaveAll;
    private static volatile int given;

    public static void main(String[] args) {
        Rig.main(LongAnswerAtRestart::run);
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
                            for (int at = 0; at < LENGTH; at += PIECE) {
                                out.write(new byte[PIECE]);
                                given = at + PIECE;
                                Rig.sleep(PIECE_MS);
                            }
                            serverGaveAll = true;
                            Rig.note("server: has given the whole answer");
                        });
        Rig.Discovery discovery = new Rig.Discovery();
        discovery.put(server.id, server.active());
        Rig.Node node =
                Rig.startNode("n1", Rig.config(discovery, List.of(server.active()), 1));
        node.awaitReady();

        long received = 0;
        int length = -1;
        String end = "whole";
        try (Socket client = Rig.connect(node.port)) {
            client.setSoTimeout(15_000);
            Rig.note("client: sends GET /bench-state/export");
            client.getOutputStream()
                    .write(Rig.get("/bench-state/export", "a1", "1.200").getBytes());
            InputStream in = new BufferedInputStream(client.getInputStream());
            Rig.Message head = Rig.Message.readHead(in);
            length = Integer.parseInt(head.header("content-length"));
            Rig.note("client: has " + head.first + ", " + length + " bytes are to follow");
            if (trouble) {
                Rig.thread(
                        () -> {
                            Rig.sleep(1000);
                            try {
                                node.signal("TERM");
                                boolean ended =
                                        node.process.waitFor(KILL_AFTER_MS, TimeUnit.MILLISECONDS);
                                Rig.note(
                                        ended
                                                ? "platform: the node has ended by itself, status "
                                                        + node.process.exitValue()
                                                : "platform: the node has not ended, SIGKILL");
                                node.process.destroyForcibly();
                            } catch (Exception e) {
                                Rig.note("platform: " + e);
                            }
                        });
            }
            byte[] buffer = new byte[PIECE];
            while (received < length) {
                int count = in.read(buffer, 0, (int) Math.min(PIECE, length - received));
                if (count < 0) {
                    end = "the connection has ended";
                    break;
                }
                received += count;
            }
        } catch (IOException e) {
            end = e.toString();
        }
        Rig.note("client: " + received + " of " + length + " bytes: " + end);
        Rig.sleep(1000);
        Rig.note("server: had given " + given + " bytes, " + (serverGaveAll ? "all" : "and was cut off"));
        node.recordLog();
        boolean endedItself = !node.process.isAlive();
        if (received == length) {
            return Rig.HELD;
        }
        if (trouble && !endedItself) {
            throw new IllegalStateException("cut off by something else than the node's end");
        }
        return Rig.BROKEN;
    }
}
