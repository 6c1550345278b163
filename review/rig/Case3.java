package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three servers hangs while long bodies come, more at once than memory holds. Each request
 * whose last byte was written has to get its final answer in its time.
 */
final class Case3 {
    private static final int REQUESTS = 16;
    private static final int BODY_BYTES = 6 * 1024 * 1024;
    private static final int HELD_BODY_BYTES = 20 * 1024 * 1024;
    private static final double TIME_LEFT_MS = 1200;

    /** Half a second by FLEET, and the 50 ms of slack of PROTOCOL. */
    private static final double SLACK_MS = 550;

    private static final long WAIT_MS = 30_000;

    private final Rig rig = new Rig();
    private final AtomicInteger written = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean done;

    Case3() throws IOException {}

    public static void main(String[] args) throws Exception {
        new Case3().run();
    }

    private void run() throws Exception {
        Rig.Discovery discovery = new Rig.Discovery(rig);
        for (int i = 1; i <= 3; i++) {
            boolean hangs = Rig.TROUBLE && i == 1;
            Rig.Server server =
                    new Rig.Server(
                            "s-" + i,
                            64 * 1024,
                            (self, head, in, out, socket) -> serve(self, head, in, out, hangs));
            discovery.put(server.id, server.port, 0, "active");
        }
        int port = Rig.freePort();
        String config = rig.config(port, discovery.port(), discovery.whole(), Rig.settings(""));
        Process node = rig.startNode(rig.write("config.json", config), Map.of());
        rig.awaitReady(node, port);
        Rig.thread(() -> uploadSlowly(port));
        Rig.sleep(1500);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            clients.add(Rig.thread(() -> request(port, String.format("b7c6d5e4%08x", number))));
            Rig.sleep(500);
        }
        for (Thread client : clients) {
            client.join(WAIT_MS + 5000);
        }
        done = true;
        String sum = written.get() + " of " + REQUESTS + " requests written whole, " + answered.get()
                + " answered in time, " + lost.get() + " not answered in time";
        if (lost.get() > 0) {
            rig.finish(Rig.BROKEN, sum);
        }
        boolean ran = node.isAlive() && written.get() >= REQUESTS / 2;
        rig.finish(ran ? Rig.HELD : Rig.COULD_NOT_RUN, sum);
    }

    /** A server: reads the request, works for 40 ms, answers. One that hangs reads heads only. */
    private boolean serve(
            Rig.Server self, Rig.Message head, InputStream in, OutputStream out, boolean hangs)
            throws IOException {
        String id = head.header("x-correlation-id");
        if (hangs) {
            rig.log("%s hangs with %s", self.id, id);
            while (!done) {
                Rig.sleep(100);
            }
            return false;
        }
        Rig.readBody(in, head);
        if (id.isEmpty()) {
            Rig.answer(out, 404, "", new byte[0]);
            return true;
        }
        rig.log("%s runs %s with %d bytes", self.id, id, head.body.length);
        Rig.sleep(40);
        Rig.answer(out, 200, "", ("done " + id).getBytes());
        return true;
    }

    private static String head(String id, int length) {
        return "POST /attempt-use HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: attempt-use\r\nX-Time-Left: 1.200\r\nContent-Length: " + length
                + "\r\n\r\n";
    }

    /** A client that sends a long body at 80 kB a second, until the case is over. */
    private void uploadSlowly(int port) {
        try (Rig.Client client = new Rig.Client(port)) {
            client.send(head("a0a0a0a0a0a0a0a0", HELD_BODY_BYTES));
            byte[] piece = new byte[8000];
            while (!done) {
                client.send(piece, 0, piece.length);
                Rig.sleep(100);
            }
        } catch (IOException e) {
            rig.log("the slow upload ended: %s", e);
        }
    }

    private void request(int port, String id) {
        try (Rig.Client client = new Rig.Client(port)) {
            client.send(head(id, BODY_BYTES));
            client.send(new byte[BODY_BYTES], 0, BODY_BYTES);
            double writtenAt = rig.ms();
            rig.log("client %s: last byte written", id);
            written.incrementAndGet();
            Rig.Message answer = client.receive(WAIT_MS);
            double took = rig.ms() - writtenAt;
            boolean inTime = answer.ending.equals("whole") && took <= TIME_LEFT_MS + SLACK_MS;
            (inTime ? answered : lost).incrementAndGet();
            rig.log("client %s: %s after %.0f ms%s", id,
                    answer.ending.equals("whole") ? "answer " + answer.status : "no answer (" + answer.ending + ")",
                    took, inTime ? "" : ": LOST");
        } catch (IOException e) {
            rig.log("client %s: not written whole: %s", id, e);
        }
    }
}
