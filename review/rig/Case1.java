package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Long answers, more at once than memory holds, to clients that take seconds to read them. The node
 * has to stay alive and give each request that it has taken its final answer.
 */
final class Case1 {
    private static final int PER_SECOND = Integer.getInteger("rate", 30);
    private static final int SECONDS = Integer.getInteger("seconds", 25);
    private static final int BODY_BYTES = 60 * 1024;
    private static final int ANSWER_BYTES = Integer.getInteger("mb", 8) * 1024 * 1024;

    /** A slow client reads so much a second: the answer takes it about 16 s. */
    private static final int READ_BYTES_PER_SECOND = 256 * 1024;

    private final Rig rig = new Rig();
    private final Map<String, Integer> endings = new TreeMap<>();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile String firstLoss;

    Case1() throws IOException {}

    public static void main(String[] args) throws Exception {
        new Case1().run();
    }

    private void run() throws Exception {
        Rig.Discovery discovery = new Rig.Discovery(rig);
        for (int i = 1; i <= 12; i++) {
            Rig.Server server = new Rig.Server("s-" + i, 0, Case1::serve);
            discovery.put(server.id, server.port, i % 3, "active");
        }
        int port = Rig.freePort();
        String config = rig.config(port, discovery.port(), discovery.whole(), Rig.settings(""));
        Process node = rig.startNode(rig.write("config.json", config), Map.of());
        rig.awaitReady(node, port);
        Rig.sleep(1000);
        for (int i = 0; i < PER_SECOND * SECONDS && node.isAlive(); i++) {
            int number = i;
            Rig.thread(() -> request(port, number));
            Rig.sleep(1000 / PER_SECOND);
            if (i % PER_SECOND == 0) {
                rig.log("open requests %d, endings %s", open.get(), summary());
            }
        }
        for (int i = 0; i < 10 && node.isAlive(); i++) {
            Rig.sleep(1000);
        }
        rig.log("open requests %d, endings %s", open.get(), summary());
        if (!node.isAlive()) {
            rig.finish(Rig.BROKEN, "the node has ended by itself, with status " + node.exitValue()
                    + "; requests lost so far: " + lost.get());
        }
        if (lost.get() > 0) {
            rig.finish(Rig.BROKEN, lost.get() + " requests were taken and not answered, the first: " + firstLoss);
        }
        rig.finish(Rig.HELD, "the node is alive, no request was lost: " + summary());
    }

    private synchronized String summary() {
        return endings.toString();
    }

    private synchronized void count(String ending) {
        endings.merge(ending, 1, Integer::sum);
    }

    /** A server: reads the request, works for 40 ms, answers in chunks. */
    private static boolean serve(
            Rig.Server self, Rig.Message head, InputStream in, java.io.OutputStream out, Socket socket)
            throws IOException {
        Rig.readBody(in, head);
        if (head.path().startsWith("/status") || head.path().startsWith("/health")) {
            Rig.answer(out, 404, "", new byte[0]);
            return true;
        }
        Rig.sleep(40);
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
        byte[] piece = new byte[16 * 1024];
        for (int sent = 0; sent < ANSWER_BYTES; sent += piece.length) {
            out.write((Integer.toHexString(piece.length) + "\r\n").getBytes());
            out.write(piece);
            out.write("\r\n".getBytes());
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
        return true;
    }

    /**
     * A client: one request on one connection. Lost is a request, written whole, of whose answer no
     * byte comes within its time of 1.2 s and half a second, or whose connection ends before any.
     */
    private void request(int port, int number) {
        String id = String.format("9b1f03aa%08x", number);
        open.incrementAndGet();
        String ending = "not taken";
        double writtenAt = -1;
        try (Socket socket = new Socket()) {
            if (Rig.TROUBLE) {
                socket.setReceiveBufferSize(16 * 1024);
            }
            socket.connect(new InetSocketAddress(Rig.LOOPBACK, port), 3000);
            socket.setTcpNoDelay(true);
            String head = "POST /attempt-use HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: " + id
                    + "\r\nX-Service-Class: attempt-use\r\nX-Time-Left: 1.200\r\nContent-Length: "
                    + BODY_BYTES + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(new byte[BODY_BYTES]);
            writtenAt = rig.ms();
            ending = "lost";
            socket.setSoTimeout(1750);
            byte[] piece = new byte[16 * 1024];
            String status = null;
            int count = socket.getInputStream().read(piece);
            if (count > 12) {
                status = new String(piece, 9, 3, StandardCharsets.US_ASCII);
                ending = status + " not whole";
                socket.setSoTimeout(20_000);
                String tail = "";
                boolean untilClose =
                        !new String(piece, 0, count, StandardCharsets.ISO_8859_1)
                                .toLowerCase().contains("transfer-encoding: chunked");
                while (count >= 0) {
                    String text = new String(piece, 0, count, StandardCharsets.ISO_8859_1);
                    tail = (tail + text).substring(Math.max(0, tail.length() + text.length() - 5));
                    if (!status.equals("200") || tail.equals("0\r\n\r\n")) {
                        ending = status;
                        break;
                    }
                    if (Rig.TROUBLE) {
                        Rig.sleep(1000L * count / READ_BYTES_PER_SECOND);
                    }
                    count = socket.getInputStream().read(piece);
                }
                if (count < 0 && untilClose) {
                    ending = status;
                }
            }
        } catch (SocketTimeoutException e) {
            ending += ", no byte in time";
        } catch (IOException e) {
            ending += ", " + e.getMessage();
        }
        open.decrementAndGet();
        count(ending);
        if (ending.startsWith("lost")) {
            if (lost.getAndIncrement() == 0) {
                firstLoss = id;
            }
        }
        if (!ending.equals("200")) {
            rig.log("request %s: written at %.1f, ended as %s", id, writtenAt, ending);
        }
    }
}
