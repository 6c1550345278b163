package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Connections to servers are reset in the middle of answers in chunks. The client must be able to
 * tell that its answer is not whole: one that would keep its connection, as some 100 others do, and
 * one that asks for the end of its connection.
 */
final class Case2 {
    private static final int REQUESTS = 20;
    private static final int KEPT_CONNECTIONS = 150;
    private static final int PIECES = 16;
    private static final int PIECE_BYTES = 16 * 1024;

    private final Rig rig = new Rig();
    private final AtomicInteger resets = new AtomicInteger();

    Case2() throws IOException {}

    public static void main(String[] args) throws Exception {
        new Case2().run();
    }

    private void run() throws Exception {
        Rig.Discovery discovery = new Rig.Discovery(rig);
        for (int i = 1; i <= 3; i++) {
            Rig.Server server = new Rig.Server("s-" + i, 0, this::serve);
            discovery.put(server.id, server.port, 0, "active");
        }
        int port = Rig.freePort();
        String config = rig.config(port, discovery.port(), discovery.whole(), Rig.settings(""));
        Process node = rig.startNode(rig.write("config.json", config), Map.of());
        rig.awaitReady(node, port);
        Rig.sleep(500);
        int whole = 0;
        int told = 0;
        int untold = 0;
        int untoldKept = 0;
        List<Socket> kept = keepConnections(port);
        Rig.sleep(300);
        for (int i = 0; i < REQUESTS; i++) {
            boolean keeps = i % 4 < 2;
            Socket socket = connect(port);
            String result = request(socket, String.format("5c0f6e1a%08x", i), keeps);
            whole += result.equals("whole") ? 1 : 0;
            told += result.equals("told") ? 1 : 0;
            untold += result.equals("untold") ? 1 : 0;
            untoldKept += result.equals("untold") && keeps ? 1 : 0;
            Rig.sleep(200);
        }
        String sum = whole + " answers whole, " + told + " broken off and told so, " + untold
                + " broken off that look whole (" + untoldKept + " of them to clients that would keep"
                + " their connections); servers reset " + resets.get() + " answers";
        if (untold > 0) {
            rig.finish(Rig.BROKEN, sum);
        }
        if (!node.isAlive() || whole == 0 || (Rig.TROUBLE && resets.get() == 0)) {
            rig.finish(Rig.COULD_NOT_RUN, sum);
        }
        rig.finish(Rig.HELD, sum);
    }

    private static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(Rig.LOOPBACK, port), 3000);
        socket.setSoTimeout(5000);
        return socket;
    }

    private static String head(String path, String id, String more) {
        return "GET /bench-state/" + path + " HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: bench-state\r\nX-Time-Left: 1.200\r\n" + more + "\r\n";
    }

    /** Clients that have had a short answer each, and keep their connections. */
    private List<Socket> keepConnections(int port) throws IOException {
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < KEPT_CONNECTIONS; i++) {
            Socket socket = connect(port);
            String id = String.format("5c0f6e1b%08x", i);
            socket.getOutputStream().write(head("short", id, "").getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            Rig.Message answer = Rig.readHead(in);
            if (answer != null) {
                Rig.readBody(in, answer);
            }
            if (answer != null && !answer.header("connection").equalsIgnoreCase("close")) {
                kept.add(socket);
            }
        }
        rig.log("%d clients keep their connections", kept.size());
        return kept;
    }

    private static byte[] piece(String id, int number) {
        byte[] piece = new byte[PIECE_BYTES];
        byte[] text = String.format("%s %02d;", id, number).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < piece.length; i++) {
            piece[i] = text[i % text.length];
        }
        return piece;
    }

    private int ran;

    /** A server: answers in chunks, 256 KiB in 0.16 s; every other connection is reset half way. */
    private boolean serve(
            Rig.Server self, Rig.Message head, InputStream in, OutputStream out, Socket socket)
            throws IOException {
        Rig.readBody(in, head);
        if (head.header("x-correlation-id").isEmpty()) {
            Rig.answer(out, 404, "", new byte[0]);
            return true;
        }
        if (head.path().endsWith("/short")) {
            Rig.answer(out, 200, "", new byte[10]);
            return true;
        }
        boolean reset;
        synchronized (this) {
            reset = Rig.TROUBLE && ran++ % 2 == 1;
        }
        String id = head.header("x-correlation-id");
        rig.log("%s runs %s%s", self.id, id, reset ? ", its connection is reset half way" : "");
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
        for (int i = 0; i < PIECES; i++) {
            if (reset && i == PIECES / 2) {
                resets.incrementAndGet();
                socket.setSoLinger(true, 0);
                socket.close();
                return false;
            }
            out.write((Integer.toHexString(PIECE_BYTES) + "\r\n").getBytes());
            out.write(piece(id, i));
            out.write("\r\n".getBytes());
            out.flush();
            Rig.sleep(10);
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
        return true;
    }

    /**
     * A client of HTTP/1.1. An answer is whole if its length or its last chunk has come, or, with
     * neither in its head, if the connection has ended without a reset.
     */
    private String request(Socket client, String id, boolean keeps) throws IOException {
        try (Socket socket = client) {
            String request = head(id, id, keeps ? "" : "Connection: close\r\n");
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Rig.Message answer = Rig.readHead(in);
            if (answer == null || answer.status != 200) {
                rig.log("client %s: answer %s", id, answer == null ? "none" : answer.status);
                return answer == null ? "lost" : "failed";
            }
            String framing = "until the connection ends";
            String ending = "the end of the connection";
            try {
                if (answer.headers.containsKey("transfer-encoding")
                        || answer.headers.containsKey("content-length")) {
                    framing = answer.headers.containsKey("content-length") ? "length" : "chunks";
                    Rig.readBody(in, answer);
                    ending = answer.ending;
                } else {
                    answer.body = in.readAllBytes();
                    ending = "whole";
                }
            } catch (SocketTimeoutException e) {
                ending = "nothing for 5 s";
            } catch (SocketException e) {
                ending = "reset";
            }
            byte[] sent = new byte[PIECES * PIECE_BYTES];
            for (int i = 0; i < PIECES; i++) {
                System.arraycopy(piece(id, i), 0, sent, i * PIECE_BYTES, PIECE_BYTES);
            }
            boolean same = java.util.Arrays.equals(sent, answer.body);
            rig.log("client %s, %s: 200, Connection: %s, framed by %s, %d of %d bytes, ended by: %s%s", id,
                    keeps ? "would keep its connection" : "asks for the end",
                    answer.header("connection").isEmpty() ? "(none)" : answer.header("connection"), framing,
                    answer.body.length, sent.length, ending, same ? "" : String.format(Locale.ROOT, ", not the server's body"));
            if (!ending.equals("whole")) {
                return "told";
            }
            return same ? "whole" : "untold";
        }
    }
}
